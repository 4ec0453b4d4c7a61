#pragma once

#include "wire/cbor_fields.h"

#include <guavafront/coordination/configuration/configuration_difference.h>

#include <cstddef>

namespace guavafront
{

/// Number of fields of an encoded difference that changes neither evacuations nor warm-up limits; two more otherwise.
constexpr std::size_t differenceFieldCount = 12;

/// Encodes a difference of configurations as an array of its fields, the form in which a list of changes contains it.
nlohmann::json fieldsOf(const configuration_difference &difference);

/// Reads what fieldsOf() wrote. Throws coordination_error (MessageMalformed).
void read(cbor_fields &fields, configuration_difference &difference);

} // namespace guavafront
