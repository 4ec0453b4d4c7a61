#pragma once

#include "wire/cbor_fields.h"

#include <guavafront/coordination/core/coordination_error.h>
#include <guavafront/coordination/core/digest_index.h>

namespace guavafront
{

/// Numbers of fixed width, least significant byte first, as a CBOR byte string.
template<class number>
nlohmann::json packNumbers(std::span<const number> values)
{
    std::vector<std::uint8_t> bytes;
    bytes.reserve(values.size() * sizeof(number));
    for (const number value : values) {
        for (std::size_t i = 0; i < sizeof(number); ++i) {
            bytes.push_back(static_cast<std::uint8_t>(std::uint64_t{value} >> (8 * i)));
        }
    }
    return nlohmann::json::binary(std::move(bytes));
}

/// Reads packNumbers()'s byte string. Throws coordination_error (MessageMalformed).
template<class number>
std::vector<number> unpackNumbers(std::span<const std::byte> bytes)
{
    if (bytes.size() % sizeof(number) != 0) {
        throw coordination_error(result_code::MessageMalformed, "malformed list of numbers");
    }
    std::vector<number> values(bytes.size() / sizeof(number));
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        const std::uint64_t part = std::to_integer<std::uint64_t>(bytes[i]) << (8 * (i % sizeof(number)));
        values[i / sizeof(number)] = static_cast<number>(values[i / sizeof(number)] | part);
    }
    return values;
}

} // namespace guavafront
