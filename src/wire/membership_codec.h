#pragma once

#include "wire/byte_buffer.h"

#include <guavafront/coordination/membership/membership_message.h>

#include <span>

namespace guavafront
{

/// Encodes a membership message as CBOR.
byte_buffer encodeMembership(const membership_message &message);

/// Decodes what encodeMembership() wrote. Throws coordination_error (MessageTooLarge, MessageMalformed).
membership_message decodeMembership(std::span<const std::byte> bytes);

} // namespace guavafront
