#pragma once

#include <guavafront/coordination/claims/claimant.h>

#include <optional>

namespace guavafront
{

/// Result of counting the votes of one attempt.
enum class vote_result : std::uint8_t {
    Open, ///< Not decided: more votes are needed.
    Won, ///< The attempt has the votes of a majority.
    OutcomeKnown, ///< A request has run under the key and a home reported its outcome.
    Lost, ///< Another attempt has the votes of a majority.
    Split, ///< The attempt can't get a majority any more.
    Full, ///< Too many homes have no room for a majority to grant the claim.
};

/// Result of a count, with the details needed to answer the caller.
struct vote_count {
    vote_result result = vote_result::Open; ///< Result of the count.
    /// Reported outcome, set for OutcomeKnown only. Points into the counted votes.
    const claim_outcome *outcome = nullptr;
    std::optional<holder_report> rival; ///< Another attempt that has won or may have won, if there is one.
};

/// Counts the votes of an attempt by the homes of its key.
vote_count countVotes(const shard_homes &homes, const std::map<vm_id, claim_reply> &votes);

/// Returns the result for a request whose key has a known outcome: a replay of the answer or a refusal.
claim_resolved resolveOutcomeKnown(const start_claim &start, const claim_outcome &outcome);

/// Returns the refusal for a request whose key was won, or may have been won, by another attempt.
claim_resolved resolveRival(const start_claim &start, const holder_report &rival);

/// Returns the refusal for a request whose claim could not be decided. The request was not sent upstream.
claim_resolved resolveUndecided(const start_claim &start);

} // namespace guavafront
