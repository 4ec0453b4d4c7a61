#pragma once

#include "wire/byte_buffer.h"

#include <guavafront/coordination/membership/membership_message.h>

#include <span>

namespace guavafront
{

/// CBOR of a membership message.
byte_buffer encodeMembership(const membership_message &message);

/// Reads encodeMembership()'s bytes. Throws coordination_error (MessageTooLarge, MessageMalformed).
membership_message decodeMembership(std::span<const std::byte> bytes);

} // namespace guavafront
