#pragma once

#include "wire/byte_buffer.h"

#include <guavafront/coordination/limits/limit_messages.h>

#include <cstddef>
#include <span>

namespace guavafront
{

/// Largest encoded message between limiters, in bytes.
constexpr std::size_t maxLimitMessageBytes = 262'144;

/// Encodes a message of the channel Limits as CBOR. Tokens are sent in thousandths and lifetimes in milliseconds,
/// rounded in the direction that keeps the sum over all VMs at or below the limit.
byte_buffer encodeLimitMessage(const limit_message &message);

/// Decodes what encodeLimitMessage() wrote. Throws coordination_error (MessageTooLarge, MessageMalformed).
limit_message decodeLimitMessage(std::span<const std::byte> bytes);

} // namespace guavafront
