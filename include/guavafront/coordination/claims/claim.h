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

/// Identifies the idempotency key of one client account by a 128-bit hash. The account is part of the identity, so a
/// client can only produce collisions among its own keys.
struct claim_key {
    account_id owner; ///< Client account that sent the key.
    std::uint64_t high = 0; ///< Upper half of the hash.
    std::uint64_t low = 0; ///< Lower half of the hash.

    /// Orders keys by account, then by hash.
    auto operator<=>(const claim_key &) const = default; // NOLINT(modernize-use-nullptr): false on a defaulted <=>.
};

/// Returns the claim key for the value of an Idempotency-Key header sent by the account.
claim_key makeClaimKey(account_id owner, std::string_view idempotencyKey);

/// Identifies one try of a VM to claim a key. An attempt that was released is never used again.
struct claim_attempt {
    vm_id claimant; ///< VM that sends the request upstream if the attempt wins.
    std::uint64_t number = 0; ///< Increases with each attempt of the claimant.

    /// Orders attempts by VM, then by number.
    auto operator<=>(const claim_attempt &) const = default; // NOLINT(modernize-use-nullptr): false on a defaulted <=>.
};

/// An attempt that was granted the vote of a home VM, as that home stores it.
struct claim_holder {
    claim_attempt attempt; ///< Attempt that has the vote.
    request_digest digest; ///< Digest of the attempt's request.
    instant deadline; ///< The request has ended by this time, on the clock of the home VM.

    /// Memberwise equality.
    bool operator==(const claim_holder &) const = default;
};

/// A holder as sent to another VM. It has a remaining time in place of a deadline because clocks differ between VMs.
struct holder_report {
    claim_attempt attempt; ///< Attempt that has the vote.
    request_digest digest; ///< Digest of the attempt's request.
    duration remaining{}; ///< Time until the request's deadline; 0 when the deadline has passed.

    /// Memberwise equality.
    bool operator==(const holder_report &) const = default;
};

/// Outcome of the request that ran under a claim key.
struct claim_outcome {
    request_digest digest; ///< Digest of the request that ran.
    bool answerKept = false; ///< Whether answer holds the first answer. Large and old answers are dropped.
    std::vector<std::byte> answer; ///< The first answer, as encoded by the front end; empty when it was dropped.

    /// Memberwise equality.
    bool operator==(const claim_outcome &) const = default;
};

} // namespace guavafront
