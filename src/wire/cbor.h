#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace guavafront
{

/// What a CBOR message from outside may not exceed.
struct cbor_limits {
    std::size_t bytes = 1'048'576; ///< Encoded size.
    std::size_t depth = 8; ///< Arrays, maps and tags inside each other.
};

/// Owned bytes of an encoded message.
using byte_buffer = std::vector<std::byte>;

/// CBOR (RFC 8949) encoding of a value.
byte_buffer encodeCbor(const nlohmann::json &value);

/// Value of exactly one CBOR item. Size, depth and lengths are checked before anything is allocated; indefinite
/// lengths are refused. Throws coordination_error (MessageTooLarge, MessageMalformed).
nlohmann::json decodeCbor(std::span<const std::byte> bytes, const cbor_limits &limits);

} // namespace guavafront
