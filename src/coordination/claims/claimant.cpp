#include <guavafront/coordination/claims/claimant.h>

#include "coordination/claims/claim_notices.h"
#include "coordination/claims/claim_votes.h"

#include <algorithm>
#include <cassert>

namespace guavafront
{

namespace
{

/// Returns the homes of a key under the view in force; empty before the first view.
const shard_homes &homesOfKey(const claimant &state, const claim_key &key)
{
    static const shard_homes none;
    return state.placement.homes.empty() ? none : state.placement.homes[shardOf(key)];
}

void schedule(claimant &state, pending_claim &claim, instant when)
{
    state.claimTimes.erase({claim.nextStep, claim.start.id});
    claim.nextStep = std::min(when, claim.start.deadline);
    state.claimTimes.emplace(claim.nextStep, claim.start.id);
}

/// Asks those homes for their vote that haven't voted on the current attempt.
void requestVotes(claimant &state, pending_claim &claim, instant now, std::vector<claimant_effect> &effects)
{
    for (const vm_id home : homesOfKey(state, claim.start.key)) {
        if (!claim.votes.contains(home)) {
            effects.emplace_back(send_claim_message{home, claim_request{.epoch = state.placement.epoch,
                                                                        .attempt = claim.attempt,
                                                                        .key = claim.start.key,
                                                                        .digest = claim.start.digest,
                                                                        .remaining = claim.start.deadline - now}});
        }
    }
    schedule(state, claim, now + state.options.requestRetryInterval);
}

void beginAttempt(claimant &state, pending_claim &claim, instant now, std::vector<claimant_effect> &effects)
{
    claim.stage = pending_claim::phase::CollectingVotes;
    claim.attempt = {.claimant = state.self, .number = ++state.lastAttempt};
    claim.votes.clear();
    state.attempts.emplace(claim.attempt.number, claim.start.id);
    requestVotes(state, claim, now, effects);
}

void rememberRelease(claimant &state, std::uint64_t number)
{
    constexpr std::size_t remembered = 4096;
    state.released.insert(number);
    if (state.released.size() > remembered) {
        state.released.erase(state.released.begin());
    }
}

/// Ends the current attempt, whose request was not sent upstream, and releases the votes that it may have.
void giveUpAttempt(claimant &state, const pending_claim &claim, instant now, std::vector<claimant_effect> &effects)
{
    if (claim.stage != pending_claim::phase::CollectingVotes) {
        return;
    }
    state.attempts.erase(claim.attempt.number);
    const bool anyGranted =
        std::ranges::any_of(claim.votes, [](const auto &each) { return each.second.vote == claim_vote::Granted; });
    if (anyGranted || claim.votes.size() < homesOfKey(state, claim.start.key).size()) {
        rememberRelease(state, claim.attempt.number);
        startNotice(state, claim.attempt, claim.start.key, claim_release{claim.attempt, claim.start.key}, now, effects);
    }
}

/// Ends a claim that was not won with the given result.
void resolve(claimant &state, const pending_claim &claim, claim_resolved resolved, instant now,
             std::vector<claimant_effect> &effects)
{
    giveUpAttempt(state, claim, now, effects);
    const exchange_id id = claim.start.id;
    state.claimTimes.erase({claim.nextStep, id});
    state.claims.erase(id);
    effects.emplace_back(std::move(resolved));
}

void win(claimant &state, pending_claim &claim, std::vector<claimant_effect> &effects)
{
    claim.stage = pending_claim::phase::Won;
    claim.votes.clear();
    state.attempts.erase(claim.attempt.number);
    state.claimTimes.erase({claim.nextStep, claim.start.id});
    effects.emplace_back(
        claim_resolved{.id = claim.start.id, .decision = claim_resolved::verdict::Run, .reason = {}, .answer = {}});
}

/// Returns the pause before the next attempt. It doubles with each split vote up to
/// claimant_options::maxBackoff and differs between VMs, so that competing VMs don't split the votes again.
duration backoff(const claimant &state, const pending_claim &claim)
{
    constexpr std::uint32_t maxDoublings = 5;
    constexpr std::uint64_t spread = 8;
    const duration base = state.options.minBackoff * (1U << std::min(claim.splitVotes, maxDoublings));
    const std::uint64_t mixed = (claim.attempt.claimant.value * 0x9E3779B97F4A7C15U + claim.attempt.number) >> 32U;
    const auto part = static_cast<std::int64_t>(mixed % spread);
    return std::min(base + base * part / static_cast<std::int64_t>(spread), state.options.maxBackoff);
}

void evaluateVotes(claimant &state, pending_claim &claim, instant now, std::vector<claimant_effect> &effects)
{
    const vote_count count = countVotes(homesOfKey(state, claim.start.key), claim.votes);
    claim.rival = count.rival;
    switch (count.result) {
    case vote_result::Open:
        break;
    case vote_result::Won:
        win(state, claim, effects);
        break;
    case vote_result::OutcomeKnown:
        resolve(state, claim, resolveOutcomeKnown(claim.start, *count.outcome), now, effects);
        break;
    case vote_result::Lost:
        resolve(state, claim, resolveRival(claim.start, *count.rival), now, effects);
        break;
    case vote_result::Full:
        resolve(state, claim, resolveUndecided(claim.start), now, effects);
        break;
    case vote_result::Split:
        giveUpAttempt(state, claim, now, effects);
        claim.stage = pending_claim::phase::BackingOff;
        schedule(state, claim, now + backoff(state, claim));
        ++claim.splitVotes;
        break;
    }
}

void advanceClaim(claimant &state, pending_claim &claim, instant now, std::vector<claimant_effect> &effects)
{
    if (now >= claim.start.deadline) {
        resolve(state, claim, claim.rival ? resolveRival(claim.start, *claim.rival) : resolveUndecided(claim.start),
                now, effects);
    } else if (claim.stage == pending_claim::phase::BackingOff) {
        beginAttempt(state, claim, now, effects);
    } else {
        requestVotes(state, claim, now, effects);
    }
}

} // namespace

void installView(claimant &state, const claims_placement &placement, instant now, std::vector<claimant_effect> &effects)
{
    if (placement.epoch <= state.placement.epoch) {
        return;
    }
    std::vector<exchange_id> asking;
    for (auto &[id, claim] : state.claims) {
        if (claim.stage == pending_claim::phase::CollectingVotes) {
            giveUpAttempt(state, claim, now, effects);
            asking.push_back(id);
        }
    }
    state.placement = placement;
    std::ranges::sort(asking); // The order of effects must not depend on the iteration order of the hash table.
    for (const exchange_id id : asking) {
        beginAttempt(state, state.claims.at(id), now, effects);
    }
}

void startClaim(claimant &state, const start_claim &event, instant now, std::vector<claimant_effect> &effects)
{
    pending_claim &claim = state.claims[event.id];
    claim.start = event;
    beginAttempt(state, claim, now, effects);
}

void abandonClaim(claimant &state, exchange_id id, instant now, std::vector<claimant_effect> &effects)
{
    const auto found = state.claims.find(id);
    if (found == state.claims.end()) {
        return;
    }
    assert(found->second.stage != pending_claim::phase::Won);
    giveUpAttempt(state, found->second, now, effects);
    state.claimTimes.erase({found->second.nextStep, id});
    state.claims.erase(found);
}

void endClaim(claimant &state, const end_claim &event, instant now, std::vector<claimant_effect> &effects)
{
    const auto node = state.claims.extract(event.id);
    if (node.empty()) {
        return;
    }
    const pending_claim &claim = node.mapped();
    assert(claim.stage == pending_claim::phase::Won);
    if (event.answer) {
        claim_outcome outcome{.digest = claim.start.digest, .answerKept = true, .answer = *event.answer};
        startNotice(state, claim.attempt, claim.start.key,
                    claim_outcome_notice{claim.attempt, claim.start.key, std::move(outcome)}, now, effects);
    } else if (!event.mayHaveRun) {
        rememberRelease(state, claim.attempt.number);
        startNotice(state, claim.attempt, claim.start.key, claim_release{claim.attempt, claim.start.key}, now, effects);
    }
}

void receive(claimant &state, vm_id from, const claim_reply &message, instant now,
             std::vector<claimant_effect> &effects)
{
    const auto attempt = state.attempts.find(message.attempt.number);
    if (message.attempt.claimant != state.self) {
        return;
    }
    if (attempt == state.attempts.end()) {
        if (message.vote == claim_vote::Granted && state.released.contains(message.attempt.number)) {
            effects.emplace_back(send_claim_message{from, claim_release{message.attempt, message.key}});
        }
        return;
    }
    pending_claim &claim = state.claims.at(attempt->second);
    const bool counts = message.key == claim.start.key && message.vote != claim_vote::NotReady
                        && message.epoch == state.placement.epoch && isHome(homesOfKey(state, message.key), from);
    if (counts && claim.votes.emplace(from, message).second) {
        evaluateVotes(state, claim, now, effects);
    }
}

void onTime(claimant &state, instant now, std::vector<claimant_effect> &effects)
{
    while (!state.claimTimes.empty() && state.claimTimes.begin()->first <= now) {
        advanceClaim(state, state.claims.at(state.claimTimes.begin()->second), now, effects);
    }
    sendNotices(state, now, effects);
}

std::optional<instant> nextWake(const claimant &state)
{
    std::optional<instant> next;
    if (!state.claimTimes.empty()) {
        next = state.claimTimes.begin()->first;
    }
    if (!state.noticeTimes.empty()) {
        const instant notice = state.noticeTimes.begin()->first;
        next = next ? std::min(*next, notice) : notice;
    }
    return next;
}

} // namespace guavafront
