#pragma once

#include "http/http_message.h"
#include "settings/endpoint.h"

#include <guavafront/coordination/core/time.h>

#include <span>
#include <string_view>

namespace guavafront
{

/// HTTP request that a command of the program sends.
struct http_call_request {
    std::string_view method; ///< Method in upper case.
    std::string_view target; ///< Path and query.
    std::string_view token; ///< Bearer token for Authorization; no such field is sent when empty.
    std::string_view body; ///< JSON text; may be empty.
    std::span<const http_header> headers; ///< Header fields besides Host, Authorization and Content-Type.
    duration timeout = std::chrono::seconds(10); ///< Time until the complete answer is received.
};

/// Sends a request over a new connection and blocks until the complete answer is received. Throws coordination_error
/// otherwise: ConnectFailed when no byte of the request was sent, OutcomeUnknown when some may have been.
http_answer httpCall(const endpoint &server, const http_call_request &request);

} // namespace guavafront
