#pragma once

#include "wire/cbor_reader.h"
#include "wire/cbor_writer.h"

#include <guavafront/coordination/configuration/configuration_difference.h>

namespace guavafront
{

/// Writes a difference of configurations as an array of its fields, the form in which a list of changes contains it.
void writeFields(cbor_writer &out, const configuration_difference &difference);

/// Reads what writeFields() wrote. Throws coordination_error (MessageMalformed).
void readFields(cbor_reader &in, configuration_difference &difference);

} // namespace guavafront
