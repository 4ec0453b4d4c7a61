#include "wire/cbor.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <nlohmann/json.hpp>

namespace guavafront
{

namespace
{

enum class major_type : std::uint8_t { Unsigned, Negative, Bytes, Text, Array, Map, Tag, Simple };

/// Head of one CBOR item, RFC 8949 section 3.
struct item_head {
    major_type type; ///< Upper three bits of the first byte.
    std::uint64_t argument; ///< Value, length or count.
};

[[noreturn]] void failMalformed(const char *text)
{
    throw coordination_error(result_code::MessageMalformed, text);
}

/// Reads a head and removes it from rest.
item_head takeHead(std::span<const std::byte> &rest)
{
    constexpr std::uint8_t firstOneByteArgument = 24;
    constexpr std::uint8_t firstReservedArgument = 28;
    if (rest.empty()) {
        failMalformed("cbor item cut");
    }
    const auto first = std::to_integer<std::uint8_t>(rest[0]);
    rest = rest.subspan(1);
    const auto type = static_cast<major_type>(first >> 5U);
    const std::uint8_t additional = first & 0x1fU;
    if (additional < firstOneByteArgument) {
        return {type, additional};
    }
    if (additional >= firstReservedArgument) {
        failMalformed("cbor indefinite length or reserved head");
    }
    const std::size_t width = std::size_t{1} << (additional - firstOneByteArgument);
    if (rest.size() < width) {
        failMalformed("cbor head cut");
    }
    std::uint64_t argument = 0;
    for (const std::byte each : rest.first(width)) {
        argument = argument << 8U | std::to_integer<std::uint64_t>(each);
    }
    rest = rest.subspan(width);
    return {type, argument};
}

/// Items that follow inside an item, 0 for a plain one.
std::uint64_t childCount(const item_head &head, std::size_t bytesLeft)
{
    switch (head.type) {
    case major_type::Tag:
        failMalformed("cbor tag");
    case major_type::Array:
    case major_type::Map:
        if (head.argument > bytesLeft) {
            failMalformed("cbor count exceeds the message");
        }
        return head.type == major_type::Map ? head.argument * 2 : head.argument;
    default:
        return 0;
    }
}

/// Walks the items without recursion; throws when limits are exceeded.
void checkStructure(std::span<const std::byte> rest, std::size_t depthLimit)
{
    std::vector<std::uint64_t> open{1};
    while (!open.empty()) {
        if (open.back() == 0) {
            open.pop_back();
            continue;
        }
        --open.back();
        const item_head head = takeHead(rest);
        if (head.type == major_type::Bytes || head.type == major_type::Text) {
            if (head.argument > rest.size()) {
                failMalformed("cbor string cut");
            }
            rest = rest.subspan(static_cast<std::size_t>(head.argument));
        }
        if (const std::uint64_t children = childCount(head, rest.size()); children > 0) {
            if (open.size() > depthLimit) {
                failMalformed("cbor nested too deep");
            }
            open.push_back(children);
        }
    }
    if (!rest.empty()) {
        failMalformed("bytes after the cbor item");
    }
}

} // namespace

byte_buffer encodeCbor(const nlohmann::json &value)
{
    const std::vector<std::uint8_t> encoded = nlohmann::json::to_cbor(value);
    const auto bytes = std::as_bytes(std::span(encoded));
    return {bytes.begin(), bytes.end()};
}

nlohmann::json decodeCbor(std::span<const std::byte> bytes, const cbor_limits &limits)
{
    if (bytes.size() > limits.bytes) {
        throw coordination_error(result_code::MessageTooLarge, "cbor message over the size limit");
    }
    checkStructure(bytes, limits.depth);
    const auto *first = reinterpret_cast<const std::uint8_t *>(bytes.data());
    nlohmann::json value = nlohmann::json::from_cbor(first, first + bytes.size(), true, false);
    if (value.is_discarded()) {
        failMalformed("cbor not decodable");
    }
    return value;
}

} // namespace guavafront
