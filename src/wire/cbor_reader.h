#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>

namespace guavafront
{

/// Reads CBOR (RFC 8949) item by item, without a tree of the values in memory, and checks the type and size of each.
/// Maps, tags and indefinite lengths are errors. Memory is never reserved for a length that the input only states. All
/// member functions throw coordination_error (MessageMalformed) when a check fails.
class cbor_reader
{
public:
    /// Starts at the first of the bytes, which must outlive the reader. Throws coordination_error (MessageTooLarge)
    /// when there are more than maxBytes.
    cbor_reader(std::span<const std::byte> encoded, std::size_t maxBytes);

    /// Reads the head of an array of at most maxElements and returns their number. The elements are the next items.
    std::size_t beginArray(std::size_t maxElements);

    /// Reads the head of an array of exactly count elements.
    void beginFields(std::size_t count);

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

    /// Reads a byte string of at most maxBytes. The span points into the input.
    std::span<const std::byte> bytes(std::size_t maxBytes);

    /// Reads a byte string of exactly the target's size and copies it into the target.
    void bytesInto(std::span<std::byte> target);

    /// Throws unless everything was read.
    void finish() const;

private:
    std::span<const std::byte> m_rest; ///< What hasn't been read yet; not owned.
};

} // namespace guavafront
