#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/entry/request_head.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace guavafront
{

/// An idempotency key of one client account, as its 128-bit hash. An account can make collisions of its own keys only.
struct claim_key {
    account_id owner; ///< Client account that sent it.
    std::uint64_t high = 0; ///< Upper half of the hash.
    std::uint64_t low = 0; ///< Lower half of the hash.

    /// Orders by account, then by hash.
    auto operator<=>(const claim_key &) const = default; // NOLINT(modernize-use-nullptr): false on a defaulted <=>.
};

/// Key of an account and its Idempotency-Key header.
claim_key makeClaimKey(account_id owner, std::string_view idempotencyKey);

/// One try of one VM to claim a key; never used again once it was released.
struct claim_attempt {
    vm_id claimant; ///< VM that would send the request upstream.
    std::uint64_t number = 0; ///< Goes up with each of its attempts.

    /// Orders by VM, then by number.
    auto operator<=>(const claim_attempt &) const = default; // NOLINT(modernize-use-nullptr): false on a defaulted <=>.
};

/// An attempt that has a home VM's vote.
struct claim_holder {
    claim_attempt attempt; ///< Whose vote it is.
    request_digest digest; ///< Of its request.
    instant deadline; ///< Its request has ended by then, on the clock of the VM that stores it.

    /// Memberwise equality.
    bool operator==(const claim_holder &) const = default;
};

/// A holder as told to another VM, whose clock differs.
struct holder_report {
    claim_attempt attempt; ///< Whose vote it is.
    request_digest digest; ///< Of its request.
    duration remaining{}; ///< Until its deadline; 0 when that has passed.

    /// Memberwise equality.
    bool operator==(const holder_report &) const = default;
};

/// Outcome of the request that ran under a key.
struct claim_outcome {
    request_digest digest; ///< Of the request.
    bool answerKept = false; ///< Whether answer holds it; a large or old one is dropped.
    std::vector<std::byte> answer; ///< The first answer, as the front end encoded it.

    /// Memberwise equality.
    bool operator==(const claim_outcome &) const = default;
};

} // namespace guavafront
