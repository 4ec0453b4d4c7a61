#pragma once

#include "wire/cbor_fields.h"

#include <guavafront/coordination/configuration/configuration_difference.h>

#include <cstddef>

namespace guavafront
{

/// Encodes a difference of configurations as an array of its fields, the form in which a list of changes contains it.
nlohmann::json fieldsOf(const configuration_difference &difference);

/// Prepares a difference for read() from an array of fieldCount fields, of which the last ones may be left out.
void expectOptionalFields(configuration_difference &difference, std::size_t fieldCount);

/// Reads what fieldsOf() wrote. Throws coordination_error (MessageMalformed).
void read(cbor_fields &fields, configuration_difference &difference);

} // namespace guavafront
