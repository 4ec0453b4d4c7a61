#pragma once

#include "wire/cbor_fields.h"

#include <guavafront/coordination/core/coordination_error.h>
#include <guavafront/coordination/core/digest_index.h>

namespace guavafront
{

/// Packs unsigned integers into one CBOR byte string, each in its full width with the least significant byte first.
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

/// Unpacks what packNumbers() wrote. Throws coordination_error (MessageMalformed) when the size isn't a multiple of the
/// integer's width.
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
