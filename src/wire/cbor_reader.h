#pragma once

#include "wire/cbor.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <nlohmann/json.hpp>

#include <concepts>
#include <limits>
#include <string_view>

namespace guavafront
{

/// Reads the fields of one CBOR array in order; a missing or mistyped field is a MessageMalformed error.
/// For sources of codecs only, since it includes the JSON library.
class cbor_reader
{
public:
    /// Reader of an array that outlives it.
    explicit cbor_reader(const nlohmann::json &array)
        : m_array(array)
    {
        check(array.is_array());
    }

    /// Next field, of any type.
    const nlohmann::json &next()
    {
        check(m_position < m_array.size());
        return m_array[m_position++];
    }

    /// Next field as an unsigned number that fits the type.
    template<std::unsigned_integral number>
    number nextUnsigned()
    {
        const nlohmann::json &field = next();
        check(field.is_number_unsigned());
        const auto value = field.get<std::uint64_t>();
        check(value <= std::numeric_limits<number>::max());
        return static_cast<number>(value);
    }

    /// Next field as a flag.
    bool nextBool()
    {
        const nlohmann::json &field = next();
        check(field.is_boolean());
        return field.get<bool>();
    }

    /// Next field as text, valid as long as the array.
    const std::string &nextText()
    {
        const nlohmann::json &field = next();
        check(field.is_string());
        return field.get_ref<const std::string &>();
    }

    /// Next field as bytes, valid as long as the array.
    std::span<const std::byte> nextBytes()
    {
        const nlohmann::json &field = next();
        check(field.is_binary());
        return std::as_bytes(std::span(field.get_binary()));
    }

    /// Next field as an array to read on its own.
    cbor_reader nextArray()
    {
        return cbor_reader(next());
    }

    /// No field is left.
    bool atEnd() const
    {
        return m_position == m_array.size();
    }

    /// Throws MessageMalformed unless the condition holds.
    static void check(bool condition)
    {
        if (!condition) {
            throw coordination_error(result_code::MessageMalformed, "message field missing or of another type");
        }
    }

private:
    const nlohmann::json &m_array; ///< Not owned.
    std::size_t m_position = 0; ///< Next field.
};

/// Bytes as a CBOR byte string.
inline nlohmann::json cborBytes(std::span<const std::byte> bytes)
{
    const auto *first = reinterpret_cast<const std::uint8_t *>(bytes.data());
    return nlohmann::json::binary(std::vector<std::uint8_t>(first, first + bytes.size()));
}

} // namespace guavafront
