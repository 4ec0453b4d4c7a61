#include <guavafront/coordination/claims/claims_home.h>

#include "coordination/claims/claim_store.h"
#include "coordination/claims/shard_transfer.h"

#include <algorithm>

namespace guavafront
{

namespace
{

bool mayVote(const claims_home &state, const home_shard &shard, const claim_request &message)
{
    return state.isMember && message.epoch == state.placement.epoch && shard.ready && shard.sealedBelow <= message.epoch
           && isHome(state.placement.homes[shardOf(message.key)], state.self);
}

bool heldOnlyBy(const claim_record &record, const claim_attempt &attempt)
{
    return !record.outcome && record.holders.size() == 1 && record.holders.front().attempt == attempt;
}

/// Grants this home's vote to the attempt unless another attempt has it or a request has run under the key. Sets the
/// vote in the reply, and the holders and the outcome if the vote is Taken.
void castVote(claims_home &state, const claim_request &message, instant now, claim_reply &reply)
{
    home_shard &shard = shardFor(state, message.key);
    if (!mayVote(state, shard, message)) {
        reply.vote = claim_vote::NotReady;
        return;
    }
    claim_record *record = makeRecord(state, message.key, now + state.options.retention, now);
    if (!record) {
        reply.vote = claim_vote::Full;
        return;
    }
    if (!record->outcome && record->holders.empty()) {
        record->holders.push_back(
            {.attempt = message.attempt, .digest = message.digest, .deadline = now + message.remaining});
    }
    if (heldOnlyBy(*record, message.attempt)) {
        reply.vote = claim_vote::Granted;
        return;
    }
    reply.vote = claim_vote::Taken;
    reply.holders = reportHolders(record->holders, now);
    reply.outcome = record->outcome;
}

} // namespace

void receive(claims_home &state, vm_id from, const claim_request &message, instant now,
             std::vector<send_claim_message> &effects)
{
    claim_reply reply{.attempt = message.attempt, .key = message.key, .epoch = state.placement.epoch};
    castVote(state, message, now, reply);
    effects.push_back({.to = from, .message = std::move(reply)});
}

void receive(claims_home &state, vm_id from, const claim_release &message, instant now,
             std::vector<send_claim_message> &effects)
{
    home_shard &shard = shardFor(state, message.key);
    if (claim_record *record = findRecord(shard, message.key, now)) {
        std::erase_if(record->holders,
                      [&message](const claim_holder &each) { return each.attempt == message.attempt; });
        if (record->holders.empty() && !record->outcome) {
            eraseRecord(state, shard, message.key);
        }
    }
    effects.push_back({.to = from, .message = claim_acknowledged{message.attempt}});
}

void receive(claims_home &state, vm_id from, const claim_outcome_notice &message, instant now,
             std::vector<send_claim_message> &effects)
{
    claim_record *record = makeRecord(state, message.key, now + state.options.retention, now);
    if (record) {
        storeOutcome(state, message.key, *record, message.outcome);
        effects.push_back({.to = from, .message = claim_acknowledged{message.attempt}});
    }
}

void onTime(claims_home &state, instant now, std::vector<send_claim_message> &effects)
{
    expireRecords(state, now);
    if (state.nextPull && *state.nextPull <= now) {
        requestMissingPages(state, now, effects);
    }
}

std::optional<instant> nextWake(const claims_home &state)
{
    std::optional<instant> next = state.nextPull;
    if (!state.expiry.empty()) {
        const instant expiry = state.expiry.front().first;
        next = next ? std::min(*next, expiry) : expiry;
    }
    return next;
}

} // namespace guavafront
