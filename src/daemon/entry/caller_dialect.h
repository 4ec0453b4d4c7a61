#pragma once

#include "http/http_message.h"

#include <guavafront/coordination/core/refusal.h>
#include <guavafront/coordination/entry/attempt_result.h>
#include <guavafront/coordination/entry/entry_effect.h>
#include <guavafront/coordination/entry/request_head.h>

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace guavafront
{

/// What an answer says besides.
struct answer_metadata {
    std::optional<std::uint32_t> reportedLoad; ///< Requests that run and wait at the instance.
    bool wrongInstance = false; ///< Another instance has the address.
};

/// How callers and upstreams word what the decisions need to know: which header holds the key, what a refusal looks
/// like. Functions without state; another front end brings its own.
struct caller_dialect {
    /// What the decisions need of a request; views into it. Throws coordination_error to refuse it.
    std::function<request_head(const http_request &)> headOf;

    /// Header fields that go upstream, without framing.
    std::function<std::vector<http_header>(const http_request &, const start_attempt &, duration timeLeft)>
        upstreamHeaders;

    /// Path and query that go upstream.
    std::function<std::string(const http_request &)> upstreamTarget;

    /// Field that an upstream repeats in the answer to this request; without a name when it repeats none.
    std::function<http_header(const http_request &)> echoedField;

    /// The caller's name for the request, for logs; empty when it gave none.
    std::function<std::string_view(const http_request &)> requestId;

    /// What a whole answer says of the try.
    std::function<attempt_outcome(const http_answer &)> classifyAnswer;

    /// What a whole answer says besides.
    std::function<answer_metadata(const http_answer &)> metadataOf;

    /// Header fields of an answer that go back to the caller.
    std::function<std::vector<http_header>(std::span<const header_view>)> callerHeaders;

    /// The answer that tells a caller of a refusal.
    std::function<http_answer(const refusal &)> refusalAnswer;
};

/// guavafront's own interface, as in docs/OPERATIONS.md.
caller_dialect nativeDialect();

/// SHA-256 of a caller's key; nothing for an empty one.
std::optional<key_hash> hashOfKey(std::string_view key);

/// Digest of a request's method, target and body.
request_digest digestOf(const http_request &request);

} // namespace guavafront
