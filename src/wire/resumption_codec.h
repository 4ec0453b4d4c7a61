#pragma once

#include "wire/byte_buffer.h"

#include <guavafront/coordination/links/link_resumption.h>

#include <span>

namespace guavafront
{

/// Encodes a statement on an ended link as CBOR.
byte_buffer encodeResumption(const link_resumption &statement);

/// Decodes what encodeResumption() wrote; further fields, which a later version may add, are skipped. Throws
/// coordination_error (MessageTooLarge, MessageMalformed).
link_resumption decodeResumption(std::span<const std::byte> bytes);

} // namespace guavafront
