#pragma once

#include "wire/byte_buffer.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace guavafront
{

/// Writes CBOR (RFC 8949) item by item, without a tree of the values in memory. Numbers and lengths take the shortest
/// form.
class cbor_writer
{
public:
    /// Writes the head of an array; its elements are the next count items.
    void beginArray(std::size_t count);

    /// Writes an unsigned integer.
    void integer(std::uint64_t value);

    /// Writes a boolean.
    void boolean(bool value);

    /// Writes a floating-point number, in single precision where that loses nothing.
    void floatingPoint(double value);

    /// Writes a text string.
    void text(std::string_view value);

    /// Writes a byte string.
    void bytes(std::span<const std::byte> value);

    /// Writes items that are encoded already.
    void encoded(std::span<const std::byte> items);

    /// Returns what was written; the writer is empty afterwards.
    byte_buffer take();

private:
    byte_buffer m_written; ///< Items so far.
};

} // namespace guavafront
