#pragma once

#include <guavafront/coordination/configuration/configuration.h>
#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>

namespace guavafront
{

/// 128-bit digest of a request's method, target and body; equal for a resend of the same request.
struct request_digest {
    std::uint64_t high = 0; ///< Upper 64 bits.
    std::uint64_t low = 0; ///< Lower 64 bits.

    /// Orders by value.
    auto operator<=>(const request_digest &) const = default;
};

/// Properties of a caller's request that decisions depend on. The body stays with the front end. The views are valid
/// for one step only.
struct request_head {
    exchange_id id; ///< Number given to the request by the front end; never reused.
    std::string_view method; ///< HTTP method in upper case.
    std::string_view host; ///< Host name in lower case, without the port.
    std::string_view path; ///< Normalized path without the query.
    std::optional<key_hash> key; ///< SHA-256 hash of the caller's API key; nothing when it sent none.
    std::string_view idempotencyKey; ///< Value of the Idempotency-Key header; empty when there is none.
    request_digest digest; ///< Digest of the whole request.
    std::uint32_t bodyBytes = 0; ///< Size of the body in bytes.
    std::optional<duration> timeLimit; ///< How long the caller will wait; nothing when the request doesn't say.
    bool keyInContent = false; ///< The caller's API key is where it can't be removed; the request must not be sent.
};

} // namespace guavafront
