#pragma once

#include "wire/cbor_fields.h"

#include <guavafront/coordination/configuration/configuration_difference.h>

namespace guavafront
{

/// Fields of a difference, as a list of changes holds them.
nlohmann::json fieldsOf(const configuration_difference &difference);

/// Reads the fields. Throws coordination_error (MessageMalformed).
void read(cbor_fields &fields, configuration_difference &difference);

} // namespace guavafront
