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

cbor_fields::cbor_fields(const nlohmann::json &value, std::string_view what, std::size_t count)
    : m_value(value)
    , m_what(what)
{
    if (!value.is_array() || value.size() != count) {
        malformed();
    }
}

void cbor_fields::version(std::uint64_t expected)
{
    if (whole<std::uint64_t>() != expected) {
        throw coordination_error(result_code::MessageUnknown, "unknown version of " + std::string(m_what));
    }
}

std::uint64_t cbor_fields::wholeUpTo(std::uint64_t maximum)
{
    const nlohmann::json &field = next();
    if (!field.is_number_unsigned() || field.get<std::uint64_t>() > maximum) {
        malformed();
    }
    return field.get<std::uint64_t>();
}

double cbor_fields::real()
{
    const nlohmann::json &field = next();
    if (!field.is_number_float()) {
        malformed();
    }
    return field.get<double>();
}

bool cbor_fields::boolean()
{
    const nlohmann::json &field = next();
    if (!field.is_boolean()) {
        malformed();
    }
    return field.get<bool>();
}

std::string cbor_fields::text(std::size_t maxBytes)
{
    const nlohmann::json &field = next();
    if (!field.is_string() || field.get_ref<const std::string &>().size() > maxBytes) {
        malformed();
    }
    return field.get<std::string>();
}

std::span<const std::byte> cbor_fields::bytes(std::size_t maxBytes)
{
    const nlohmann::json &field = next();
    if (!field.is_binary() || field.get_binary().size() > maxBytes) {
        malformed();
    }
    return std::as_bytes(std::span<const std::uint8_t>(field.get_binary()));
}

void cbor_fields::bytesInto(std::span<std::byte> target)
{
    const std::span<const std::byte> source = bytes(target.size());
    if (source.size() != target.size()) {
        malformed();
    }
    std::ranges::copy(source, target.begin());
}

const nlohmann::json &cbor_fields::array(std::size_t maxElements)
{
    const nlohmann::json &field = next();
    if (!field.is_array() || field.size() > maxElements) {
        malformed();
    }
    return field;
}

const nlohmann::json &cbor_fields::next()
{
    assert(m_next < m_value.size());
    return m_value[m_next++];
}

void cbor_fields::malformed() const
{
    throw coordination_error(result_code::MessageMalformed, "malformed " + std::string(m_what));
}

} // namespace guavafront
