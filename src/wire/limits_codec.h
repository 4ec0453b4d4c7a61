#pragma once

#include "wire/byte_buffer.h"

#include <guavafront/coordination/limits/limit_messages.h>

#include <cstddef>
#include <span>

namespace guavafront
{

/// Most bytes of an encoded message between limiters.
constexpr std::size_t maxLimitMessageBytes = 262'144;

/// CBOR of a message, for channel Limits. Tokens travel in thousandths, lifetimes in milliseconds, rounded to the
/// side that leaves the sum of all VMs at or below the limit.
byte_buffer encodeLimitMessage(const limit_message &message);

/// Reads encodeLimitMessage()'s bytes. Throws coordination_error (MessageTooLarge, MessageMalformed).
limit_message decodeLimitMessage(std::span<const std::byte> bytes);

} // namespace guavafront
