#pragma once

#include "http/http_message.h"

#include <guavafront/coordination/core/result_code.h>

#include <string_view>

namespace guavafront
{

/// Whether the given token is the expected one; false for an empty token. Compares hashes in constant time, so that the
/// time taken tells nothing about the expected token.
bool tokenMatches(std::string_view given, std::string_view expected);

/// Problem details (RFC 9457) with code and text, for senders that aren't client accounts: operators and upstreams.
http_answer problemAnswer(result_code code, std::string_view text);

/// Answer with the given status and JSON body.
http_answer jsonAnswer(int status, std::string_view json);

} // namespace guavafront
