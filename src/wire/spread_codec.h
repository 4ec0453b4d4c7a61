#pragma once

#include "wire/byte_buffer.h"

#include <guavafront/coordination/spread/spread_message.h>

#include <span>

namespace guavafront
{

/// Encodes a spread message as CBOR.
byte_buffer encodeSpread(const spread_message &message);

/// Decodes what encodeSpread() wrote. Throws coordination_error (MessageTooLarge, MessageMalformed).
spread_message decodeSpread(std::span<const std::byte> bytes);

} // namespace guavafront
