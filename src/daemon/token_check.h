#pragma once

#include "http/http_message.h"

#include <guavafront/coordination/core/result_code.h>

#include <string_view>

namespace guavafront
{

/// Whether two tokens are equal, in a time that depends on neither's content.
bool tokenMatches(std::string_view given, std::string_view expected);

/// Problem details (RFC 9457) with code and text for callers that are no client accounts: operators and upstreams.
http_answer problemAnswer(result_code code, std::string_view text);

/// Answer with a JSON body.
http_answer jsonAnswer(int status, std::string_view json);

} // namespace guavafront
