#pragma once

#include <cstddef>
#include <span>
#include <vector>

namespace guavafront
{

/// Compresses bytes into the zlib format (RFC 1950).
std::vector<std::byte> deflated(std::span<const std::byte> plain);

/// Decompresses what deflated() wrote. Throws coordination_error: MessageMalformed when the input is no zlib stream,
/// MessageTooLarge when the output exceeds maxBytes.
std::vector<std::byte> inflated(std::span<const std::byte> compressed, std::size_t maxBytes);

} // namespace guavafront
