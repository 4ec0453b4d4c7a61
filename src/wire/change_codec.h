#pragma once

#include "wire/cbor_reader.h"
#include "wire/cbor_writer.h"

#include <guavafront/coordination/configuration/change.h>

namespace guavafront
{

/// Writes a change as an array of its tag and the array of its fields. The tag is the position in the variant.
void write(cbor_writer &out, const change &edit);

/// Reads the array of a change.
void read(cbor_reader &in, change &edit);

} // namespace guavafront
