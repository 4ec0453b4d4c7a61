#pragma once

#include "wire/byte_buffer.h"

#include <guavafront/coordination/spread/spread_message.h>

#include <span>

namespace guavafront
{

/// CBOR of a spread message.
byte_buffer encodeSpread(const spread_message &message);

/// Reads encodeSpread()'s bytes. Throws coordination_error (MessageTooLarge, MessageMalformed).
spread_message decodeSpread(std::span<const std::byte> bytes);

} // namespace guavafront
