#pragma once

#include <cstddef>
#include <span>
#include <vector>

namespace guavafront
{

/// Bytes in the zlib format (RFC 1950).
std::vector<std::byte> deflated(std::span<const std::byte> plain);

/// The bytes before deflated(). Throws coordination_error (MessageMalformed, MessageTooLarge over maxBytes).
std::vector<std::byte> inflated(std::span<const std::byte> compressed, std::size_t maxBytes);

} // namespace guavafront
