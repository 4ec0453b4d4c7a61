#pragma once

#include <guavafront/coordination/claims/claim_message.h>
#include <guavafront/coordination/core/refusal.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace guavafront
{

/// Time settings for the claims that one VM makes.
struct claimant_options {
    /// Interval at which homes that have not voted are asked again.
    duration requestRetryInterval = std::chrono::milliseconds(100);
    /// Pause after the first split vote; it doubles with each further one.
    duration minBackoff = std::chrono::milliseconds(4);
    duration maxBackoff = std::chrono::milliseconds(128); ///< Upper limit of the pause.
    /// How long a release or an outcome is resent to homes that don't acknowledge it.
    duration noticeTimeout = std::chrono::seconds(30);
};

/// Asks for the claim of a request's key.
struct start_claim {
    exchange_id id; ///< Request that needs the claim.
    claim_key key; ///< Idempotency key of the request.
    request_digest digest; ///< Digest of the request.
    instant deadline; ///< Time by which the request has ended.
};

/// Reports how a request that won its claim ended.
struct end_claim {
    exchange_id id; ///< Request that ended.
    bool mayHaveRun = true; ///< False releases the key: no byte was sent, or the upstream refused the request.
    /// Complete answer as encoded by the front end; empty when there was none.
    std::optional<std::vector<std::byte>> answer;
};

/// Result of a claim.
struct claim_resolved {
    /// Whether the request may be sent upstream, and what the caller gets if not.
    enum class verdict : std::uint8_t {
        Run, ///< The request won the claim and may be sent. An end_claim must follow.
        Replay, ///< The request ran before; the caller gets its first answer.
        Refuse, ///< The request is refused.
    };

    exchange_id id; ///< Request that asked for the claim.
    verdict decision = verdict::Refuse; ///< What to do with the request.
    refusal reason; ///< Reason of the refusal. Only set for Refuse.
    std::vector<std::byte> answer; ///< First answer, as encoded by the front end. Only set for Replay.
};

/// Any effect that a claimant produces.
using claimant_effect = std::variant<send_claim_message, claim_resolved>;

/// One claim that is pending or won.
struct pending_claim {
    /// Phase of the claim.
    enum class phase : std::uint8_t {
        CollectingVotes, ///< The homes were asked for their votes.
        BackingOff, ///< The vote was split; another attempt follows after a pause.
        Won, ///< The request may be sent upstream and has not ended.
    };

    start_claim start; ///< Event that started the claim.
    phase stage = phase::CollectingVotes; ///< Current phase.
    claim_attempt attempt; ///< Current attempt.
    std::map<vm_id, claim_reply> votes; ///< Replies to the current attempt by home VM; NotReady replies are left out.
    std::uint32_t splitVotes = 0; ///< Number of attempts that ended in a split vote.
    std::optional<holder_report> rival; ///< Other attempt that may have won, by the latest count of votes.
    /// When the homes are asked again or the next attempt starts; never later than the deadline of the claim.
    instant nextStep;
};

/// A release or an outcome that some homes have not acknowledged yet.
struct pending_notice {
    claim_message message; ///< Release or outcome to send.
    std::uint32_t shard = 0; ///< Shard whose homes receive the message.
    std::set<vm_id> acknowledged; ///< Homes that have acknowledged the message.
    duration resendInterval{}; ///< Interval until the next resend; doubles with each one.
    instant nextSend; ///< When the message is resent to the other homes.
    instant expires; ///< From this time on the message is not resent.
};

/// Claimant side of the claims: collects the votes of a key's homes and reports the outcome to them.
struct claimant {
    vm_id self; ///< This VM.
    claimant_options options; ///< Time settings.
    claims_placement placement; ///< Homes of all shards under the view in force.
    std::uint64_t lastAttempt = 0; ///< Highest attempt number used so far.
    std::unordered_map<exchange_id, pending_claim> claims; ///< Claims that are pending or won, by request.
    /// Request of each attempt that is collecting votes, by attempt number.
    std::unordered_map<std::uint64_t, exchange_id> attempts;
    /// Numbers of the latest released attempts. A vote that arrives late for one of them is released too.
    std::set<std::uint64_t> released;
    std::map<std::uint64_t, pending_notice> notices; ///< Unacknowledged notices by attempt number.
    std::set<std::pair<instant, exchange_id>> claimTimes; ///< pending_claim::nextStep of each claim that isn't won.
    /// pending_notice::nextSend of each notice, with its attempt number.
    std::set<std::pair<instant, std::uint64_t>> noticeTimes;
};

/// Puts a newer view in force; an older one is ignored. Attempts that are collecting votes are released, and their
/// claims start a new attempt under the new view.
void installView(claimant &state, const claims_placement &placement, instant now,
                 std::vector<claimant_effect> &effects);

/// Starts a claim. Exactly one claim_resolved follows, unless the claim is abandoned.
void startClaim(claimant &state, const start_claim &event, instant now, std::vector<claimant_effect> &effects);

/// Drops a claim that is not resolved yet, because the caller has disconnected or the deadline has passed. Does nothing
/// for an unknown request.
void abandonClaim(claimant &state, exchange_id id, instant now, std::vector<claimant_effect> &effects);

/// Ends a won claim. Sends the answer to the homes, or releases the key if the request has not run. If the request may
/// have run but has no answer, the homes keep the claim until its retention is over. Ignores unknown requests.
void endClaim(claimant &state, const end_claim &event, instant now, std::vector<claimant_effect> &effects);

/// Counts the vote of a home and resolves the claim once the votes decide it.
void receive(claimant &state, vm_id from, const claim_reply &message, instant now,
             std::vector<claimant_effect> &effects);
/// Marks a notice as acknowledged by a home.
void receive(claimant &state, vm_id from, const claim_acknowledged &message);

/// Does the work that is due: asks homes again, starts further attempts, ends claims at their deadline, resends
/// notices.
void onTime(claimant &state, instant now, std::vector<claimant_effect> &effects);

/// Returns when onTime() must be called next; nothing when no work is scheduled.
std::optional<instant> nextWake(const claimant &state);

} // namespace guavafront
