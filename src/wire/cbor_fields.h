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

/// Nesting of arrays that a message may have.
constexpr std::size_t maxCborDepth = 8;

/// Parses CBOR (RFC 8949) of at most maxBytes and maxCborDepth levels. Throws coordination_error (MessageTooLarge,
/// MessageMalformed).
nlohmann::json parseCbor(std::span<const std::byte> encoded, std::size_t maxBytes);

/// CBOR of a value.
std::vector<std::byte> encodeCbor(const nlohmann::json &value);

/// CBOR byte string of the bytes.
nlohmann::json cborBytes(std::span<const std::byte> bytes);

/// Reads the fields of one CBOR array in order, each with its type and size checked. Every member throws
/// coordination_error (MessageMalformed).
class cbor_fields
{
public:
    /// Reader of an array of exactly count fields; valueName names it in errors. The value outlives the reader.
    cbor_fields(const nlohmann::json &value, std::string_view valueName, std::size_t count);

    /// Whole number that fits the type.
    template<class number>
    number integer()
    {
        static_assert(std::is_unsigned_v<number>);
        return static_cast<number>(integerUpTo(std::numeric_limits<number>::max()));
    }

    /// Enumerator up to the last one.
    template<class enumeration>
    enumeration enumerator(enumeration last)
    {
        return static_cast<enumeration>(integerUpTo(static_cast<std::uint64_t>(last)));
    }

    /// Reads a format version; any but the expected one throws MessageUnknown.
    void checkVersion(std::uint64_t expected);

    /// Whole number up to maximum.
    std::uint64_t integerUpTo(std::uint64_t maximum);

    /// Floating-point number.
    double floatingPoint();

    /// Truth value.
    bool boolean();

    /// Text of at most maxBytes.
    std::string text(std::size_t maxBytes);

    /// Byte string of at most maxBytes; views the parsed value.
    std::span<const std::byte> bytes(std::size_t maxBytes);

    /// Fills target from a byte string of exactly its size.
    void bytesInto(std::span<std::byte> target);

    /// Array of at most maxElements; a reference into the parsed value.
    const nlohmann::json &array(std::size_t maxElements);

private:
    const nlohmann::json &next();
    [[noreturn]] void throwMalformed() const;

    const nlohmann::json &m_value; ///< Not owned.
    std::string_view m_valueName; ///< For errors.
    std::size_t m_nextIndex = 0; ///< Index of the next field.
};

} // namespace guavafront
