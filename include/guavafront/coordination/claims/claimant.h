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

/// Times of the claims that one VM makes.
struct claimant_options {
    duration requestRetryInterval = std::chrono::milliseconds(100); ///< Until a silent home is asked again.
    duration minBackoff = std::chrono::milliseconds(4); ///< Pause after the first split vote; doubles.
    duration maxBackoff = std::chrono::milliseconds(128); ///< Longest pause.
    duration noticeTimeout =
        std::chrono::seconds(30); ///< How long homes that don't acknowledge an outcome are told it.
};

/// Claim of one request's key.
struct start_claim {
    exchange_id id; ///< Request.
    claim_key key; ///< Its key.
    request_digest digest; ///< Of the request.
    instant deadline; ///< The request ends then.
};

/// How a request that had won its claim ended.
struct end_claim {
    exchange_id id; ///< Request.
    bool mayHaveRun = true; ///< False frees the key: no byte of the request left, or the upstream refused it.
    std::optional<std::vector<std::byte>> answer; ///< The whole answer as encoded by the front end, if there is one.
};

/// What a claim came to.
struct claim_resolved {
    /// Whether the request may be sent, and otherwise what the caller gets.
    enum class verdict : std::uint8_t {
        Run, ///< The key is this request's: end_claim must follow.
        Replay, ///< The first answer is there.
        Refuse, ///< Neither.
    };

    exchange_id id; ///< Request.
    verdict decision = verdict::Refuse; ///< What to do.
    refusal reason; ///< When Refuse.
    std::vector<std::byte> answer; ///< When Replay.
};

/// All that a claimant wants done.
using claimant_effect = std::variant<send_claim_message, claim_resolved>;

/// One claim under way.
struct pending_claim {
    /// Where it stands.
    enum class phase : std::uint8_t {
        CollectingVotes, ///< Votes are being collected.
        BackingOff, ///< It could not win; another attempt follows.
        Won, ///< The request may be sent.
    };

    start_claim start; ///< As asked for.
    phase stage = phase::CollectingVotes; ///< Where it stands.
    claim_attempt attempt; ///< Present attempt.
    std::map<vm_id, claim_reply> votes; ///< Granted, Taken and Full of the present attempt, by home.
    std::uint32_t splitVotes = 0; ///< Attempts that could not win.
    std::optional<holder_report> rival; ///< Attempt that may have won, as of the last attempt.
    instant nextStep; ///< Ask again, or start the next attempt.
};

/// A release or outcome that homes have yet to acknowledge.
struct pending_notice {
    claim_message message; ///< What they are told.
    std::uint32_t shard = 0; ///< Whose homes.
    std::set<vm_id> acknowledged; ///< Homes that have.
    duration resendInterval{}; ///< Until the next sending; doubles.
    instant nextSend; ///< When the others are told again.
    instant expires; ///< When the rest is left alone.
};

/// Claimant side: collects votes of a key's homes and tells them the outcome.
struct claimant {
    vm_id self; ///< This VM.
    claimant_options options; ///< Times.
    claims_placement placement; ///< Under the view in force.
    std::uint64_t lastAttempt = 0; ///< Highest number used.
    std::unordered_map<exchange_id, pending_claim> claims; ///< Under way or won.
    std::unordered_map<std::uint64_t, exchange_id> attempts; ///< Claim of each attempt that is collecting votes.
    std::set<std::uint64_t> released; ///< Latest attempts given back: a vote that comes late is given back as well.
    std::map<std::uint64_t, pending_notice> notices; ///< By attempt number.
    std::set<std::pair<instant, exchange_id>> claimTimes; ///< Next step of each claim that isn't won.
    std::set<std::pair<instant, std::uint64_t>> noticeTimes; ///< Next sending of each notice.
};

/// Puts a newer view in force; attempts under the old one are given up and made again.
void installView(claimant &state, const claims_placement &placement, instant now,
                 std::vector<claimant_effect> &effects);

/// Starts a claim; ends with one claim_resolved unless it is abandoned.
void startClaim(claimant &state, const start_claim &event, instant now, std::vector<claimant_effect> &effects);

/// The caller has gone, or the deadline has passed, before the claim was resolved.
void abandonClaim(claimant &state, exchange_id id, instant now, std::vector<claimant_effect> &effects);

/// A request that had won its claim has ended.
void endClaim(claimant &state, const end_claim &event, instant now, std::vector<claimant_effect> &effects);

/// Takes a home's answer.
void receive(claimant &state, vm_id from, const claim_reply &message, instant now,
             std::vector<claimant_effect> &effects);
void receive(claimant &state, vm_id from, const claim_acknowledged &message); ///< As above.

/// Asks again, tries again, tells again.
void onTime(claimant &state, instant now, std::vector<claimant_effect> &effects);

/// When onTime() has work next.
std::optional<instant> nextWake(const claimant &state);

} // namespace guavafront
