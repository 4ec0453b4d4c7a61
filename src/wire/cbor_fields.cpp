#include "wire/cbor_fields.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <algorithm>
#include <cassert>

namespace guavafront
{

namespace
{

/// Builds the value and stops at an array or map that is nested too deep, before the parser recurses into it.
class bounded_builder : public nlohmann::detail::json_sax_dom_parser<nlohmann::json>
{
    using base = nlohmann::detail::json_sax_dom_parser<nlohmann::json>;

public:
    bounded_builder(nlohmann::json &result, std::size_t maxElements)
        : base(result, false)
        , m_maxElements(maxElements)
    {
    }

    bool start_array(std::size_t elements) // NOLINT(readability-identifier-naming): name of nlohmann's SAX interface.
    {
        const bool plausible = elements == indefinite || elements <= m_maxElements;
        return plausible && ++m_depth <= maxCborDepth && base::start_array(elements);
    }

    bool end_array() // NOLINT(readability-identifier-naming)
    {
        --m_depth;
        return base::end_array();
    }

    bool start_object(std::size_t /*elements*/) // NOLINT(readability-identifier-naming)
    {
        return false; // The formats use arrays only.
    }

private:
    static constexpr std::size_t indefinite = static_cast<std::size_t>(-1); ///< Length that the array doesn't state.

    std::size_t m_maxElements; ///< An element takes a byte at least.
    std::size_t m_depth = 0; ///< Arrays that are open.
};

} // namespace

nlohmann::json parseCbor(std::span<const std::byte> encoded, std::size_t maxBytes)
{
    if (encoded.size() > maxBytes) {
        throw coordination_error(result_code::MessageTooLarge, "encoded value is too large");
    }
    nlohmann::json value;
    bounded_builder builder(value, encoded.size());
    const auto *first = reinterpret_cast<const std::uint8_t *>(encoded.data());
    const bool whole =
        nlohmann::json::sax_parse(first, first + encoded.size(), &builder, nlohmann::json::input_format_t::cbor, true);
    if (!whole) {
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
