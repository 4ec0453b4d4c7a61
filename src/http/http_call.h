#pragma once

#include "http/http_message.h"
#include "settings/endpoint.h"

#include <guavafront/coordination/core/time.h>

#include <span>
#include <string_view>

namespace guavafront
{

/// One HTTP request of a command.
struct http_call_request {
    std::string_view method; ///< In capitals.
    std::string_view target; ///< Path with query.
    std::string_view token; ///< Bearer token; empty sends none.
    std::string_view body; ///< JSON; may be empty.
    std::span<const http_header> headers; ///< Further header fields.
    duration timeout = std::chrono::seconds(10); ///< To the whole answer.
};

/// Sends a request and waits for the whole answer. Throws coordination_error: ConnectFailed when nothing was sent,
/// OutcomeUnknown when it may have been.
http_answer httpCall(const endpoint &server, const http_call_request &request);

} // namespace guavafront
