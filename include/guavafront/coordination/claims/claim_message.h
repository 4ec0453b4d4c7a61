#pragma once

#include <guavafront/coordination/claims/claim.h>
#include <guavafront/coordination/claims/claims_view.h>

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace guavafront
{

/// Asks a home VM to vote for an attempt.
struct claim_request {
    view_epoch epoch; ///< View under which the claimant chose the homes.
    claim_attempt attempt; ///< Attempt that the vote is for.
    claim_key key; ///< Key to claim.
    request_digest digest; ///< Digest of the request.
    duration remaining{}; ///< Time until the request's deadline.

    /// Memberwise equality.
    bool operator==(const claim_request &) const = default;
};

/// Result of asking a home VM for its vote.
enum class claim_vote : std::uint8_t {
    Granted, ///< The attempt has the vote of this home.
    Taken, ///< Another attempt has the vote, or a request has already run under the key.
    NotReady, ///< No vote: another view is in force at the home, or records of its shard are still missing.
    Full, ///< The home stores the maximum number of claims, in total or for the client account.
};

/// Reply of a home VM to a claim_request.
struct claim_reply {
    claim_attempt attempt; ///< Attempt of the claim_request.
    claim_key key; ///< Key of the claim_request.
    claim_vote vote = claim_vote::NotReady; ///< Vote of the home.
    view_epoch epoch; ///< View in force at the home VM.
    std::vector<holder_report> holders; ///< Attempts that have the vote. Only set when the vote is Taken.
    /// Outcome of the request that ran, if known. Only set when the vote is Taken.
    std::optional<claim_outcome> outcome;

    /// Memberwise equality.
    bool operator==(const claim_reply &) const = default;
};

/// Returns a vote. The request was not executed under this attempt and never will be.
struct claim_release {
    claim_attempt attempt; ///< Attempt that gives up its vote.
    claim_key key; ///< Key that the vote was for.

    /// Memberwise equality.
    bool operator==(const claim_release &) const = default;
};

/// Reports the answer of a request that ran to the homes of its key.
struct claim_outcome_notice {
    claim_attempt attempt; ///< Attempt under which the request ran.
    claim_key key; ///< Key of the request.
    claim_outcome outcome; ///< Digest and answer of the request.

    /// Memberwise equality.
    bool operator==(const claim_outcome_notice &) const = default;
};

/// Confirms that a home has processed a claim_release or stored a claim_outcome_notice.
struct claim_acknowledged {
    claim_attempt attempt; ///< Attempt of the confirmed message.

    /// Memberwise equality.
    bool operator==(const claim_acknowledged &) const = default;
};

/// Asks a home of the previous view for a page of its records. From then on the receiver grants no votes in this shard
/// under views older than the new one.
struct shard_pull {
    view_epoch epoch; ///< Epoch of the new view.
    std::uint32_t shard = 0; ///< Shard whose homes change.
    /// Life of the receiver as a home in the previous view. A receiver with another life has lost its records and sends
    /// no reply.
    std::uint64_t life = 0;
    claim_key after; ///< The page starts after this key; the default key requests the first page.

    /// Memberwise equality.
    bool operator==(const shard_pull &) const = default;
};

/// State of one key, as transferred to a new home.
struct shard_record {
    claim_key key; ///< Key that the record is for.
    duration retention{}; ///< Time for which the record must still be kept.
    std::vector<holder_report> holders; ///< Attempts that have the vote of the sender.
    std::optional<claim_outcome> outcome; ///< Outcome of the request that ran, if known.

    /// Memberwise equality.
    bool operator==(const shard_record &) const = default;
};

/// One page of a shard's records, sent in reply to a shard_pull.
struct shard_page {
    view_epoch epoch; ///< Epoch of the shard_pull.
    std::uint32_t shard = 0; ///< Shard of the shard_pull.
    claim_key after; ///< The page starts after this key, as requested by the shard_pull.
    /// Whether the sender was ready to vote in this shard in the previous view, so that its records were complete.
    bool ready = false;
    bool last = false; ///< Whether this is the last page of the shard.
    std::vector<shard_record> records; ///< Records of the page, ordered by key.

    /// Memberwise equality.
    bool operator==(const shard_page &) const = default;
};

/// Any message that VMs exchange about claims.
using claim_message = std::variant<claim_request, claim_reply, claim_release, claim_outcome_notice, claim_acknowledged,
                                   shard_pull, shard_page>;

/// Effect that sends a claim message to a VM.
struct send_claim_message {
    vm_id to; ///< Receiver, which may be the sending VM itself.
    claim_message message; ///< Message to send.

    /// Memberwise equality.
    bool operator==(const send_claim_message &) const = default;
};

} // namespace guavafront
