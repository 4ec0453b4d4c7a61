#include "wire/cbor_writer.h"

#include <cbor/encoding.h>

#include <array>
#include <cmath>
#include <limits>
#include <utility>

namespace guavafront
{

namespace
{

/// Space for any item without its content: one byte and an argument of up to eight.
using item_head = std::array<unsigned char, 9>;

std::span<const std::byte> firstBytes(const item_head &head, std::size_t size)
{
    return std::as_bytes(std::span(head)).first(size);
}

/// Whether single precision holds the number. The comparison of ranges goes first, since the conversion of a larger
/// number is undefined.
bool isSinglePrecision(double value)
{
    return std::abs(value) <= static_cast<double>(std::numeric_limits<float>::max())
           && static_cast<double>(static_cast<float>(value)) == value;
}

} // namespace

void cbor_writer::beginArray(std::size_t count)
{
    item_head head{};
    encoded(firstBytes(head, cbor_encode_array_start(count, head.data(), head.size())));
}

void cbor_writer::integer(std::uint64_t value)
{
    item_head head{};
    encoded(firstBytes(head, cbor_encode_uint(value, head.data(), head.size())));
}

void cbor_writer::boolean(bool value)
{
    item_head head{};
    encoded(firstBytes(head, cbor_encode_bool(value, head.data(), head.size())));
}

void cbor_writer::floatingPoint(double value)
{
    item_head head{};
    const std::size_t size = isSinglePrecision(value)
                                 ? cbor_encode_single(static_cast<float>(value), head.data(), head.size())
                                 : cbor_encode_double(value, head.data(), head.size());
    encoded(firstBytes(head, size));
}

void cbor_writer::text(std::string_view value)
{
    item_head head{};
    encoded(firstBytes(head, cbor_encode_string_start(value.size(), head.data(), head.size())));
    encoded(std::as_bytes(std::span(value)));
}

void cbor_writer::bytes(std::span<const std::byte> value)
{
    item_head head{};
    encoded(firstBytes(head, cbor_encode_bytestring_start(value.size(), head.data(), head.size())));
    encoded(value);
}

void cbor_writer::encoded(std::span<const std::byte> items)
{
    m_written.insert(m_written.end(), items.begin(), items.end());
}

byte_buffer cbor_writer::take()
{
    return std::exchange(m_written, {});
}

} // namespace guavafront
