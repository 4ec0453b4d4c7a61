#include "wire/cbor_structure.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <cstdint>
#include <vector>

namespace guavafront
{

namespace
{

enum class major_type : std::uint8_t { Unsigned, Negative, Bytes, Text, Array, Map, Tag, Simple };

/// First byte of a CBOR item with the argument that follows it, RFC 8949 section 3.
struct item_head {
    major_type type; ///< Major type, from the upper three bits of the first byte.
    std::uint64_t argument; ///< Value of a number, length of a string, or number of elements of an array.
};

[[noreturn]] void failMalformed(const char *text)
{
    throw coordination_error(result_code::MessageMalformed, text);
}

/// Reads the head at the start of rest and removes it from rest.
item_head takeHead(std::span<const std::byte> &rest)
{
    constexpr std::uint8_t firstOneByteArgument = 24;
    constexpr std::uint8_t firstReservedArgument = 28;
    if (rest.empty()) {
        failMalformed("CBOR item is truncated");
    }
    const auto first = std::to_integer<std::uint8_t>(rest[0]);
    rest = rest.subspan(1);
    const auto type = static_cast<major_type>(first >> 5U);
    const std::uint8_t additional = first & 0x1fU;
    if (additional < firstOneByteArgument) {
        return {type, additional};
    }
    if (additional >= firstReservedArgument) {
        failMalformed("CBOR item has an indefinite length or a reserved head");
    }
    const std::size_t width = std::size_t{1} << (additional - firstOneByteArgument);
    if (rest.size() < width) {
        failMalformed("CBOR head is truncated");
    }
    std::uint64_t argument = 0;
    for (const std::byte each : rest.first(width)) {
        argument = argument << 8U | std::to_integer<std::uint64_t>(each);
    }
    rest = rest.subspan(width);
    return {type, argument};
}

/// Number of items nested directly in an item: the elements of an array, 0 for a plain value. A count above bytesLeft
/// is an error, since each element takes at least one byte.
std::uint64_t childCount(const item_head &head, std::size_t bytesLeft)
{
    switch (head.type) {
    case major_type::Tag:
    case major_type::Map:
        failMalformed("CBOR tags and maps are not allowed");
    case major_type::Array:
        if (head.argument > bytesLeft) {
            failMalformed("CBOR array has more elements than the message has bytes");
        }
        return head.argument;
    default:
        return 0;
    }
}

} // namespace

void checkCborStructure(std::span<const std::byte> encoded, std::size_t maxDepth)
{
    std::span<const std::byte> rest = encoded;
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
                failMalformed("CBOR string is truncated");
            }
            rest = rest.subspan(static_cast<std::size_t>(head.argument));
        }
        if (const std::uint64_t children = childCount(head, rest.size()); children > 0) {
            if (open.size() > maxDepth) {
                failMalformed("CBOR arrays are nested too deeply");
            }
            open.push_back(children);
        }
    }
    if (!rest.empty()) {
        failMalformed("unexpected bytes after the CBOR item");
    }
}

} // namespace guavafront
