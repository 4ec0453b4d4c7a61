#include "coordination/claims/claim_votes.h"

#include <algorithm>

namespace guavafront
{

namespace
{

constexpr duration retryAfterUndecided = std::chrono::seconds(1);

/// Number of homes that report the same competing attempt, with the report itself.
struct rival_count {
    std::size_t homes = 0; ///< Number of homes that report the attempt.
    holder_report report; ///< Report of the attempt, with the longest remaining time of all reports.
};

std::map<claim_attempt, rival_count> countRivals(const std::map<vm_id, claim_reply> &votes)
{
    std::map<claim_attempt, rival_count> rivals;
    for (const auto &[home, reply] : votes) {
        for (const holder_report &holder : reply.holders) {
            if (holder.attempt == reply.attempt) {
                continue;
            }
            rival_count &rival = rivals[holder.attempt];
            ++rival.homes;
            const duration remaining = std::max(rival.report.remaining, holder.remaining);
            rival.report = holder;
            rival.report.remaining = remaining;
        }
    }
    return rivals;
}

std::size_t countOf(const std::map<vm_id, claim_reply> &votes, claim_vote vote)
{
    const auto count = std::ranges::count_if(votes, [vote](const auto &each) { return each.second.vote == vote; });
    return static_cast<std::size_t>(count);
}

const claim_outcome *findOutcome(const std::map<vm_id, claim_reply> &votes)
{
    const claim_outcome *found = nullptr;
    for (const auto &[home, reply] : votes) {
        if (reply.outcome && (!found || reply.outcome->answerKept)) {
            found = &*reply.outcome;
        }
    }
    return found;
}

claim_resolved refusalOf(const start_claim &start, result_code code, execution ran, duration retryAfter)
{
    return {
        .id = start.id, .decision = claim_resolved::verdict::Refuse, .reason = {code, ran, retryAfter}, .answer = {}};
}

} // namespace

vote_count countVotes(const shard_homes &homes, const std::map<vm_id, claim_reply> &votes)
{
    vote_count count;
    const std::size_t majority = majorityOf(homes);
    const std::size_t outstanding = homes.size() - votes.size();
    const std::size_t granted = countOf(votes, claim_vote::Granted);
    count.outcome = findOutcome(votes);
    if (count.outcome) {
        count.result = vote_result::OutcomeKnown;
        return count;
    }
    if (granted >= majority) {
        count.result = vote_result::Won;
        return count;
    }
    bool rivalWon = false;
    for (const auto &[attempt, rival] : countRivals(votes)) {
        if (!rivalWon && rival.homes + outstanding >= majority) {
            rivalWon = rival.homes >= majority;
            count.rival = rival.report;
        }
    }
    if (rivalWon) {
        count.result = vote_result::Lost;
    } else if (countOf(votes, claim_vote::Full) + majority > homes.size()) {
        count.result = vote_result::Full;
    } else if (granted + outstanding < majority) {
        count.result = vote_result::Split;
    }
    return count;
}

claim_resolved resolveOutcomeKnown(const start_claim &start, const claim_outcome &outcome)
{
    if (outcome.digest != start.digest) {
        return refusalOf(start, result_code::IdempotencyKeyReused, execution::NotRun, {});
    }
    if (!outcome.answerKept) {
        return refusalOf(start, result_code::OutcomeUnknown, execution::Unknown, {});
    }
    return {.id = start.id, .decision = claim_resolved::verdict::Replay, .reason = {}, .answer = outcome.answer};
}

claim_resolved resolveRival(const start_claim &start, const holder_report &rival)
{
    if (rival.digest != start.digest) {
        return refusalOf(start, result_code::IdempotencyKeyReused, execution::NotRun, {});
    }
    if (rival.remaining > duration::zero()) {
        return refusalOf(start, result_code::DuplicateInProgress, execution::Unknown, rival.remaining);
    }
    return refusalOf(start, result_code::OutcomeUnknown, execution::Unknown, {});
}

claim_resolved resolveUndecided(const start_claim &start)
{
    return refusalOf(start, result_code::ClaimUndecided, execution::NotRun, retryAfterUndecided);
}

} // namespace guavafront
