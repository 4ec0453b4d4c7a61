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
    std::uint64_t high = 0; ///< Upper half.
    std::uint64_t low = 0; ///< Lower half.

    /// Orders by value.
    auto operator<=>(const request_digest &) const = default;
};

/// What decisions need to know of a caller's request; the body stays with the front end. Views live for one step.
struct request_head {
    exchange_id id; ///< Number given by the front end, never reused.
    std::string_view method; ///< In capitals.
    std::string_view host; ///< Lower case without port.
    std::string_view path; ///< Normalized, without query.
    std::optional<key_hash> key; ///< SHA-256 of the caller's key; nothing when it sent none.
    std::string_view idempotencyKey; ///< Idempotency-Key as sent; empty when there is none.
    request_digest digest; ///< Of the whole request.
    std::uint32_t bodyBytes = 0; ///< Size of the body in bytes.
    std::optional<duration> timeLimit; ///< How long the caller waits; nothing when it didn't say.
    bool keyInContent = false; ///< The caller's key stands where it can't be removed; the request must not be sent.
};

} // namespace guavafront
