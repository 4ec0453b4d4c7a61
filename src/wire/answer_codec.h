#pragma once

#include "http/http_message.h"

#include <cstddef>
#include <span>
#include <vector>

namespace guavafront
{

/// CBOR of an answer, as claims keep it for resends.
std::vector<std::byte> encodeAnswer(const http_answer &answer);

/// The answer. Throws coordination_error (MessageTooLarge, MessageMalformed, MessageUnknown).
http_answer decodeAnswer(std::span<const std::byte> encoded);

} // namespace guavafront
