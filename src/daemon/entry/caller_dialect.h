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

/// What an upstream instance's answer says about the instance, beside the outcome of the attempt.
struct answer_metadata {
    std::optional<std::uint32_t> reportedLoad; ///< Requests that run or wait at the instance.
    bool wrongInstance = false; ///< Another instance answered at the address.
    bool instanceLeaves = false; ///< The instance leaves and wants no further requests.
    duration requestedPause{}; ///< Time in which the instance, which refused, wants no further request; 0 for none.
};

/// HTTP conventions of callers and upstreams, such as which header field holds the caller's key and what a refusal
/// looks like. The functions have no state. Another front end supplies its own dialect.
struct caller_dialect {
    /// Extracts from a request what the decisions need. The result refers to the request's memory. Throws
    /// coordination_error to refuse the request.
    std::function<request_head(const http_request &)> headOf;

    /// Returns the header fields to send upstream, without the fields that frame the message.
    std::function<std::vector<http_header>(const http_request &, const start_attempt &, duration timeLeft)>
        upstreamHeaders;

    /// Returns the path and query to send upstream.
    std::function<std::string(const http_request &)> upstreamTarget;

    /// Returns the header field that an upstream repeats in its answer to this request. Its name is empty when the
    /// upstream repeats none.
    std::function<http_header(const http_request &)> echoedField;

    /// Returns the caller's id of the request, for logs; empty if the caller gave none.
    std::function<std::string_view(const http_request &)> requestId;

    /// Returns the outcome of the attempt that got this complete answer.
    std::function<attempt_outcome(const http_answer &)> classifyAnswer;

    /// Returns what a complete answer says about its instance.
    std::function<answer_metadata(const http_answer &)> metadataOf;

    /// Returns the header fields of an upstream's answer that are passed on to the caller.
    std::function<std::vector<http_header>(std::span<const header_view>)> callerHeaders;

    /// Returns the answer for a caller whose request is refused.
    std::function<http_answer(const refusal &)> refusalAnswer;
};

/// Returns the dialect of guavafront's native interface, which docs/OPERATIONS.md describes.
caller_dialect nativeDialect();

/// Returns the SHA-256 of a caller's key, or nothing for an empty key.
std::optional<key_hash> hashOfKey(std::string_view key);

/// Returns a digest of the request's method, host, path, query and body.
request_digest digestOf(const http_request &request);

} // namespace guavafront
