#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace guavafront
{

/// Largest depth of nested arrays in a message.
constexpr std::size_t maxCborDepth = 8;

/// Parses CBOR (RFC 8949) of at most maxBytes and maxCborDepth levels. Throws coordination_error (MessageTooLarge,
/// MessageMalformed).
nlohmann::json parseCbor(std::span<const std::byte> encoded, std::size_t maxBytes);

/// Encodes a value as CBOR.
std::vector<std::byte> encodeCbor(const nlohmann::json &value);

/// Wraps bytes in a value that is encoded as a CBOR byte string.
nlohmann::json cborBytes(std::span<const std::byte> bytes);

/// Reads the fields of one CBOR array in order and checks the type and size of each. All member functions throw
/// coordination_error (MessageMalformed) when a check fails.
class cbor_fields
{
public:
    /// Starts at the first field of an array, which must have exactly count fields. valueName describes the array in
    /// error messages. The value and the characters of valueName must outlive the reader.
    cbor_fields(const nlohmann::json &value, std::string_view valueName, std::size_t count);

    /// Reads an unsigned integer that fits the given type.
    template<class number>
    number integer()
    {
        static_assert(std::is_unsigned_v<number>);
        return static_cast<number>(integerUpTo(std::numeric_limits<number>::max()));
    }

    /// Reads an enumerator as its number, which must not exceed that of the last enumerator.
    template<class enumeration>
    enumeration enumerator(enumeration last)
    {
        return static_cast<enumeration>(integerUpTo(static_cast<std::uint64_t>(last)));
    }

    /// Whether fields are left to read.
    bool hasMore() const;

    /// Reads a format version. Throws coordination_error (MessageUnknown) when it isn't the expected one.
    void checkVersion(std::uint64_t expected);

    /// Reads an unsigned integer from 0 to maximum.
    std::uint64_t integerUpTo(std::uint64_t maximum);

    /// Reads a floating-point number.
    double floatingPoint();

    /// Reads a boolean.
    bool boolean();

    /// Reads a text string of at most maxBytes.
    std::string text(std::size_t maxBytes);

    /// Reads a byte string of at most maxBytes. The span points into the parsed value.
    std::span<const std::byte> bytes(std::size_t maxBytes);

    /// Reads a byte string of exactly the target's size and copies it into the target.
    void bytesInto(std::span<std::byte> target);

    /// Reads an array of at most maxElements. The reference points into the parsed value.
    const nlohmann::json &array(std::size_t maxElements);

private:
    const nlohmann::json &next();
    [[noreturn]] void throwMalformed() const;

    const nlohmann::json &m_value; ///< Array that is read; not owned.
    std::string_view m_valueName; ///< Description of the array in error messages; not owned.
    std::size_t m_nextIndex = 0; ///< Index of the next field to read.
};

} // namespace guavafront
