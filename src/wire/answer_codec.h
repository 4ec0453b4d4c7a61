#pragma once

#include "http/http_message.h"

#include <cstddef>
#include <span>
#include <vector>

namespace guavafront
{

/// Encodes an HTTP answer as CBOR. A claim stores it in this form, so that a caller who resends the request gets the
/// same answer.
std::vector<std::byte> encodeAnswer(const http_answer &answer);

/// Decodes what encodeAnswer() wrote. Throws coordination_error (MessageTooLarge, MessageMalformed, MessageUnknown).
http_answer decodeAnswer(std::span<const std::byte> encoded);

} // namespace guavafront
