#pragma once

#include "http/http_message.h"
#include "http/message_parser.h"

#include <guavafront/coordination/core/identifiers.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace guavafront
{

/// Answer that is ready to be sent to a caller.
struct ready_answer {
    http_answer reply; ///< Status, header fields and body.
    bool closeAfterwards = false; ///< The connection is to be closed after the answer.
};

/// Request that a connection has received completely. Its address stays the same until its answer is written, so that
/// views of its fields stay valid until then.
struct caller_request {
    exchange_id id; ///< Number that the connection's owner assigned; 0 when the request was refused without it.
    received_message message; ///< Method, target, header fields and body.
    std::vector<header_view> fields; ///< Views of the header fields.
    std::string host; ///< Host as normalizeHost() returns it.
    std::string path; ///< Path as normalizePath() returns it.
    std::optional<ready_answer> answer; ///< Set once answered, while answers to earlier requests are missing.

    /// Query without the '?'.
    std::string_view query() const;

    /// Path as the caller sent it, without the query.
    std::string_view rawPath() const;

    /// Whether the request's method is safe (RFC 9110 section 9.2.1), so that it may run beside other requests of its
    /// connection (RFC 9112 section 9.3.2).
    bool isSafe() const;

    /// Memory of the body and of an answer that isn't written yet, in bytes.
    std::size_t heldBytes() const;
};

/// Encodes an answer to a request with the given method. close adds Connection: close.
std::string encodeAnswer(const http_answer &reply, std::string_view method, bool close);

} // namespace guavafront
