#include "wire/cbor_reader.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <cbor/callbacks.h>
#include <cbor/streaming.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace guavafront
{

namespace
{

/// Number of elements of an array.
struct array_size {
    std::size_t elements = 0; ///< The number, as the input states it.
};

/// One item, or the head of an array. No value stands for all types of items that messages don't have.
using cbor_item =
    std::variant<std::monostate, std::uint64_t, bool, double, std::string_view, std::span<const std::byte>, array_size>;

[[noreturn]] void failMalformed(const char *text)
{
    throw coordination_error(result_code::MessageMalformed, text);
}

cbor_item &itemAt(void *context)
{
    return *static_cast<cbor_item *>(context);
}

template<class number>
void keepInteger(void *context, number value)
{
    itemAt(context) = std::uint64_t{value};
}

void keepSingle(void *context, float value)
{
    itemAt(context) = static_cast<double>(value);
}

void keepDouble(void *context, double value)
{
    itemAt(context) = value;
}

void keepBoolean(void *context, bool value)
{
    itemAt(context) = value;
}

void keepText(void *context, cbor_data data, std::size_t size)
{
    itemAt(context) = std::string_view(reinterpret_cast<const char *>(data), size);
}

void keepBytes(void *context, cbor_data data, std::size_t size)
{
    itemAt(context) = std::as_bytes(std::span(data, size));
}

void keepArray(void *context, std::size_t elements)
{
    itemAt(context) = array_size{elements};
}

/// Callbacks that keep the item in the cbor_item that is their context. Those of other types keep nothing.
cbor_callbacks makeCallbacks()
{
    cbor_callbacks callbacks = cbor_empty_callbacks;
    callbacks.uint8 = keepInteger<std::uint8_t>;
    callbacks.uint16 = keepInteger<std::uint16_t>;
    callbacks.uint32 = keepInteger<std::uint32_t>;
    callbacks.uint64 = keepInteger<std::uint64_t>;
    callbacks.float2 = keepSingle;
    callbacks.float4 = keepSingle;
    callbacks.float8 = keepDouble;
    callbacks.boolean = keepBoolean;
    callbacks.string = keepText;
    callbacks.byte_string = keepBytes;
    callbacks.array_start = keepArray;
    return callbacks;
}

/// Reads the next item and removes it from rest. An item of another type than expected is malformed.
template<class expected>
expected take(std::span<const std::byte> &rest)
{
    static const cbor_callbacks callbacks = makeCallbacks();
    cbor_item item;
    const auto *first = reinterpret_cast<const unsigned char *>(rest.data());
    const cbor_decoder_result result = cbor_stream_decode(first, rest.size(), &callbacks, &item);
    const auto *value = std::get_if<expected>(&item);
    if (result.status != CBOR_DECODER_FINISHED || value == nullptr) {
        failMalformed("CBOR item is truncated or of another type");
    }
    rest = rest.subspan(result.read);
    return *value;
}

} // namespace

cbor_reader::cbor_reader(std::span<const std::byte> encoded, std::size_t maxBytes)
    : m_rest(encoded)
{
    if (encoded.size() > maxBytes) {
        throw coordination_error(result_code::MessageTooLarge, "encoded value is too large");
    }
}

std::size_t cbor_reader::beginArray(std::size_t maxElements)
{
    const std::size_t elements = take<array_size>(m_rest).elements;
    // Each element takes at least one byte.
    if (elements > maxElements || elements > m_rest.size()) {
        failMalformed("CBOR array has too many elements");
    }
    return elements;
}

void cbor_reader::beginFields(std::size_t count)
{
    if (take<array_size>(m_rest).elements != count) {
        failMalformed("CBOR array has another number of fields");
    }
}

void cbor_reader::checkVersion(std::uint64_t expected)
{
    if (integer<std::uint64_t>() != expected) {
        throw coordination_error(result_code::MessageUnknown, "unknown version of the format");
    }
}

std::uint64_t cbor_reader::integerUpTo(std::uint64_t maximum)
{
    const auto value = take<std::uint64_t>(m_rest);
    if (value > maximum) {
        failMalformed("CBOR integer is too large");
    }
    return value;
}

double cbor_reader::floatingPoint()
{
    return take<double>(m_rest);
}

bool cbor_reader::boolean()
{
    return take<bool>(m_rest);
}

std::string cbor_reader::text(std::size_t maxBytes)
{
    const auto value = take<std::string_view>(m_rest);
    if (value.size() > maxBytes) {
        failMalformed("CBOR text is too long");
    }
    return std::string(value);
}

std::span<const std::byte> cbor_reader::bytes(std::size_t maxBytes)
{
    const auto value = take<std::span<const std::byte>>(m_rest);
    if (value.size() > maxBytes) {
        failMalformed("CBOR byte string is too long");
    }
    return value;
}

void cbor_reader::bytesInto(std::span<std::byte> target)
{
    const std::span<const std::byte> source = bytes(target.size());
    if (source.size() != target.size()) {
        failMalformed("CBOR byte string has another length");
    }
    std::ranges::copy(source, target.begin());
}

void cbor_reader::finish() const
{
    if (!m_rest.empty()) {
        failMalformed("unexpected bytes after the CBOR item");
    }
}

} // namespace guavafront
