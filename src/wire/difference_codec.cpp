#include "wire/difference_codec.h"

#include "wire/configuration_parts_codec.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <optional>
#include <vector>

namespace guavafront
{

namespace
{

/// Number of fields of a difference that changes neither evacuations nor warm-up limits, and of any other one. VMs of
/// earlier builds can read only the first.
constexpr std::size_t commonFields = 12;
constexpr std::size_t allFields = commonFields + 2;

template<class identifier>
void writeNumbers(cbor_writer &out, const std::vector<identifier> &identifiers)
{
    out.beginArray(identifiers.size());
    for (const identifier each : identifiers) {
        out.integer(each.value);
    }
}

template<class identifier>
void readNumbers(cbor_reader &in, std::vector<identifier> &identifiers)
{
    for (std::size_t left = in.beginArray(unboundedList); left > 0; --left) {
        identifiers.push_back({in.integer<std::uint32_t>()});
    }
}

/// Writes an optional value as an array of one element, or an empty array when there is none.
template<class item>
void writeOptional(cbor_writer &out, const std::optional<item> &value)
{
    out.beginArray(value ? 1 : 0);
    if (value) {
        write(out, *value);
    }
}

template<class item>
void readOptional(cbor_reader &in, std::optional<item> &value)
{
    if (in.beginArray(1) == 1) {
        read(in, value.emplace());
    }
}

} // namespace

void writeFields(cbor_writer &out, const configuration_difference &difference)
{
    const bool hasLaterFields = difference.evacuations || difference.warmups;
    out.beginArray(hasLaterFields ? allFields : commonFields);
    writeOptional(out, difference.defaults);
    writeOptional(out, difference.limits);
    writeOptional(out, difference.exceptions);
    writeNumbers(out, difference.removedAccounts);
    write(out, difference.accounts);
    write(out, difference.removedKeys);
    write(out, difference.keys);
    writeNumbers(out, difference.removedRoutes);
    write(out, difference.routes);
    out.integer(difference.lastAccountId.value);
    out.integer(difference.lastRouteId.value);
    out.integer(difference.externalVersion);
    if (hasLaterFields) {
        writeOptional(out, difference.evacuations);
        writeOptional(out, difference.warmups);
    }
}

void readFields(cbor_reader &in, configuration_difference &difference)
{
    const std::size_t fields = in.beginArray(allFields);
    if (fields != commonFields && fields != allFields) {
        throw coordination_error(result_code::MessageMalformed, "CBOR array has another number of fields");
    }
    readOptional(in, difference.defaults);
    readOptional(in, difference.limits);
    readOptional(in, difference.exceptions);
    readNumbers(in, difference.removedAccounts);
    read(in, difference.accounts);
    read(in, difference.removedKeys, unboundedList);
    read(in, difference.keys);
    readNumbers(in, difference.removedRoutes);
    read(in, difference.routes);
    difference.lastAccountId.value = in.integer<std::uint32_t>();
    difference.lastRouteId.value = in.integer<std::uint32_t>();
    difference.externalVersion = in.integer<std::uint64_t>();
    if (fields == allFields) {
        readOptional(in, difference.evacuations);
        readOptional(in, difference.warmups);
    }
}

} // namespace guavafront
