#pragma once

#include <guavafront/coordination/claims/claimant.h>

#include <optional>

namespace guavafront
{

/// What the votes of one attempt come to.
enum class vote_result : std::uint8_t {
    Open, ///< More votes are needed.
    Won, ///< The attempt has a majority.
    OutcomeKnown, ///< The request under the key has run; its outcome is known.
    Lost, ///< Another attempt has a majority.
    Split, ///< The attempt can't get a majority.
    Full, ///< Too many homes have no room.
};

/// Count of the votes.
struct vote_count {
    vote_result result = vote_result::Open; ///< What they come to.
    const claim_outcome *outcome = nullptr; ///< When Known; lives as long as the votes.
    std::optional<holder_report> rival; ///< Other attempt that has won, or may have.
};

/// Counts the votes of an attempt.
vote_count countVotes(const shard_homes &homes, const std::map<vm_id, claim_reply> &votes);

/// What a caller gets whose key's request has run.
claim_resolved resolveOutcomeKnown(const start_claim &start, const claim_outcome &outcome);

/// What a caller gets whose key another attempt has won, or may have.
claim_resolved resolveRival(const start_claim &start, const holder_report &rival);

/// What a caller gets when nothing could be decided; nothing was sent for it.
claim_resolved resolveUndecided(const start_claim &start);

} // namespace guavafront
