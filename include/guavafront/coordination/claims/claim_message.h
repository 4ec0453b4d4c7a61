#pragma once

#include <guavafront/coordination/claims/claim.h>
#include <guavafront/coordination/claims/claims_view.h>

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace guavafront
{

/// Asks a home VM for its vote.
struct claim_request {
    view_epoch epoch; ///< View that the homes were chosen by.
    claim_attempt attempt; ///< Who asks.
    claim_key key; ///< Key to claim.
    request_digest digest; ///< Of the request.
    duration remaining{}; ///< Until the request's deadline.

    /// Memberwise equality.
    bool operator==(const claim_request &) const = default;
};

/// What a home VM says to a request for its vote.
enum class claim_vote : std::uint8_t {
    Granted, ///< The vote is the attempt's.
    Taken, ///< Others hold it, or the request has run.
    NotReady, ///< Another view is in force here, or this VM is still collecting what its shard knows.
    Full, ///< No room for another claim, or the account's share of it is spent.
};

/// A home VM's answer.
struct claim_reply {
    claim_attempt attempt; ///< As asked.
    claim_key key; ///< As asked.
    claim_vote vote = claim_vote::NotReady; ///< The answer.
    view_epoch epoch; ///< View in force at the home.
    std::vector<holder_report> holders; ///< When Taken: who holds it.
    std::optional<claim_outcome> outcome; ///< When Taken: what is known to have run.

    /// Memberwise equality.
    bool operator==(const claim_reply &) const = default;
};

/// Gives a vote back: the attempt was not sent upstream and never will be.
struct claim_release {
    claim_attempt attempt; ///< Whose vote.
    claim_key key; ///< For which key.

    /// Memberwise equality.
    bool operator==(const claim_release &) const = default;
};

/// Tells the homes of an answer.
struct claim_outcome_notice {
    claim_attempt attempt; ///< Attempt that ran.
    claim_key key; ///< Its key.
    claim_outcome outcome; ///< What came of it.

    /// Memberwise equality.
    bool operator==(const claim_outcome_notice &) const = default;
};

/// A release or an outcome was taken in.
struct claim_acknowledged {
    claim_attempt attempt; ///< Of the message.

    /// Memberwise equality.
    bool operator==(const claim_acknowledged &) const = default;
};

/// Asks a home of the view before for what it knows, and forbids it to vote under that view from now on.
struct shard_pull {
    view_epoch epoch; ///< New view.
    std::uint32_t shard = 0; ///< Shard that changes homes.
    std::uint64_t life = 0; ///< Life of the receiver that was a home; another one knows nothing and stays silent.
    claim_key after; ///< The page starts after this key.

    /// Memberwise equality.
    bool operator==(const shard_pull &) const = default;
};

/// One key's state on its way to a new home.
struct shard_record {
    claim_key key; ///< The key.
    duration retention{}; ///< How much longer it must be kept.
    std::vector<holder_report> holders; ///< Attempts that hold a vote.
    std::optional<claim_outcome> outcome; ///< What ran.

    /// Memberwise equality.
    bool operator==(const shard_record &) const = default;
};

/// Part of a shard's state.
struct shard_page {
    view_epoch epoch; ///< As asked.
    std::uint32_t shard = 0; ///< As asked.
    claim_key after; ///< As asked.
    bool ready = false; ///< The sender had collected all that its own view needed.
    bool last = false; ///< Nothing follows.
    std::vector<shard_record> records; ///< Ordered by key.

    /// Memberwise equality.
    bool operator==(const shard_page &) const = default;
};

/// All messages about claims.
using claim_message = std::variant<claim_request, claim_reply, claim_release, claim_outcome_notice, claim_acknowledged,
                                   shard_pull, shard_page>;

/// Send a message about claims to a VM.
struct send_claim_message {
    vm_id to; ///< Receiver; may be the sender itself.
    claim_message message; ///< What to send.

    /// Memberwise equality.
    bool operator==(const send_claim_message &) const = default;
};

} // namespace guavafront
