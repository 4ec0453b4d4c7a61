#include "wire/cbor_fields.h"

#include "wire/cbor_structure.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <algorithm>
#include <cassert>

namespace guavafront
{

nlohmann::json parseCbor(std::span<const std::byte> encoded, std::size_t maxBytes)
{
    if (encoded.size() > maxBytes) {
        throw coordination_error(result_code::MessageTooLarge, "encoded value is too large");
    }
    checkCborStructure(encoded, maxCborDepth);
    const auto *first = reinterpret_cast<const std::uint8_t *>(encoded.data());
    nlohmann::json value = nlohmann::json::from_cbor(first, first + encoded.size(), true, false);
    if (value.is_discarded()) {
        throw coordination_error(result_code::MessageMalformed, "encoded value is not well-formed CBOR");
    }
    return value;
}

std::vector<std::byte> encodeCbor(const nlohmann::json &value)
{
    const std::vector<std::uint8_t> encoded = nlohmann::json::to_cbor(value);
    const auto bytes = std::as_bytes(std::span(encoded));
    return {bytes.begin(), bytes.end()};
}

nlohmann::json cborBytes(std::span<const std::byte> bytes)
{
    const auto *first = reinterpret_cast<const std::uint8_t *>(bytes.data());
    return nlohmann::json::binary(std::vector<std::uint8_t>(first, first + bytes.size()));
}

cbor_fields::cbor_fields(const nlohmann::json &value, std::string_view valueName, std::size_t count)
    : m_value(value)
    , m_valueName(valueName)
{
    if (!value.is_array() || value.size() != count) {
        throwMalformed();
    }
}

bool cbor_fields::hasMore() const
{
    return m_nextIndex < m_value.size();
}

void cbor_fields::checkVersion(std::uint64_t expected)
{
    if (integer<std::uint64_t>() != expected) {
        throw coordination_error(result_code::MessageUnknown, "unknown version of " + std::string(m_valueName));
    }
}

std::uint64_t cbor_fields::integerUpTo(std::uint64_t maximum)
{
    const nlohmann::json &field = next();
    if (!field.is_number_unsigned() || field.get<std::uint64_t>() > maximum) {
        throwMalformed();
    }
    return field.get<std::uint64_t>();
}

double cbor_fields::floatingPoint()
{
    const nlohmann::json &field = next();
    if (!field.is_number_float()) {
        throwMalformed();
    }
    return field.get<double>();
}

bool cbor_fields::boolean()
{
    const nlohmann::json &field = next();
    if (!field.is_boolean()) {
        throwMalformed();
    }
    return field.get<bool>();
}

std::string cbor_fields::text(std::size_t maxBytes)
{
    const nlohmann::json &field = next();
    if (!field.is_string() || field.get_ref<const std::string &>().size() > maxBytes) {
        throwMalformed();
    }
    return field.get<std::string>();
}

std::span<const std::byte> cbor_fields::bytes(std::size_t maxBytes)
{
    const nlohmann::json &field = next();
    if (!field.is_binary() || field.get_binary().size() > maxBytes) {
        throwMalformed();
    }
    return std::as_bytes(std::span<const std::uint8_t>(field.get_binary()));
}

void cbor_fields::bytesInto(std::span<std::byte> target)
{
    const std::span<const std::byte> source = bytes(target.size());
    if (source.size() != target.size()) {
        throwMalformed();
    }
    std::ranges::copy(source, target.begin());
}

const nlohmann::json &cbor_fields::array(std::size_t maxElements)
{
    const nlohmann::json &field = next();
    if (!field.is_array() || field.size() > maxElements) {
        throwMalformed();
    }
    return field;
}

const nlohmann::json &cbor_fields::next()
{
    assert(m_nextIndex < m_value.size());
    return m_value[m_nextIndex++];
}

void cbor_fields::throwMalformed() const
{
    throw coordination_error(result_code::MessageMalformed, "malformed " + std::string(m_valueName));
}

} // namespace guavafront
