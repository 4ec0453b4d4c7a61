#include "coordination/claims/shard_transfer.h"

#include "coordination/claims/claim_store.h"

#include <algorithm>

namespace guavafront
{

namespace
{

constexpr std::size_t recordsPerPage = 64;
constexpr std::size_t bytesPerPage = std::size_t{64} * 1024;
constexpr std::size_t recordOverheadBytes = 128; // Estimated size of a record without its answer.

/// Marks a shard as ready once a majority of its previous homes has transferred its records and one of these homes was
/// ready itself, so that it knew the claims won under still earlier views. Every attempt that won under the previous
/// view is then recorded here, because its majority and the majority of transferring homes have a VM in common.
void markReadyWhenComplete(claims_home &state, std::uint32_t number, home_shard &shard)
{
    if (shard.transferredFrom.size() >= majorityOf(state.placement.previousHomes[number])
        && shard.transferredFromReady) {
        shard.ready = true;
        shard.lastReady = state.placement.epoch;
        shard.pendingPulls.clear();
    }
}

/// Prepares a shard for the view in force: marks it ready if this VM has all its records, else starts pulling them.
/// before is the epoch of the view that this VM had until now.
void startShard(claims_home &state, std::uint32_t number, view_epoch before)
{
    home_shard &shard = state.shards[number];
    const bool followsKnown = before.value + 1 == state.placement.epoch.value;
    const bool wasReady = shard.ready && followsKnown;
    shard.ready = false;
    shard.transferredFrom.clear();
    shard.transferredFromReady = false;
    shard.pendingPulls.clear();
    if (!state.isMember || !isHome(state.placement.homes[number], state.self)) {
        return;
    }
    if (state.placement.previousHomes.empty()) {
        shard.ready = true;
        shard.lastReady = state.placement.epoch;
        return;
    }
    const shard_homes &previous = state.placement.previousHomes[number];
    if (wasReady && previous == state.placement.homes[number]) {
        shard.ready = true; // The same homes keep their records, and majorities of both views overlap.
        shard.lastReady = state.placement.epoch;
        return;
    }
    for (const vm_id each : previous) {
        const bool sameLife = state.previousLives.at(each) == state.life;
        if (each == state.self && sameLife) {
            shard.transferredFrom.insert(each);
            shard.transferredFromReady = wasReady;
        } else if (each != state.self) {
            shard.pendingPulls.emplace(each, shard_pull_progress{});
        }
    }
    markReadyWhenComplete(state, number, shard);
}

shard_pull makePull(const claims_home &state, std::uint32_t number, vm_id home, const claim_key &after)
{
    return {.epoch = state.placement.epoch, .shard = number, .life = state.previousLives.at(home), .after = after};
}

shard_record toShardRecord(const claim_key &key, const claim_record &record, instant now)
{
    return {.key = key,
            .retention = record.expires - now,
            .holders = reportHolders(record.holders, now),
            .outcome = record.outcome};
}

shard_page makePage(const home_shard &shard, const shard_pull &message, instant now)
{
    shard_page page{.epoch = message.epoch, .shard = message.shard, .after = message.after};
    page.ready = shard.lastReady.value + 1 >= message.epoch.value;
    std::size_t bytes = 0;
    auto next = shard.records.upper_bound(message.after);
    while (next != shard.records.end() && page.records.size() < recordsPerPage && bytes < bytesPerPage) {
        if (next->second.expires > now) {
            page.records.push_back(toShardRecord(next->first, next->second, now));
            bytes += recordOverheadBytes + (next->second.outcome ? next->second.outcome->answer.size() : 0);
        }
        ++next;
    }
    page.last = next == shard.records.end();
    return page;
}

} // namespace

void installView(claims_home &state, const claims_view &view, instant now, std::vector<send_claim_message> &effects)
{
    if (view.epoch <= state.placement.epoch) {
        return;
    }
    const view_epoch before = state.placement.epoch;
    state.placement = placeClaims(view);
    state.previousLives.clear();
    for (const claims_member &each : view.previous) {
        state.previousLives.emplace(each.id, each.life);
    }
    const auto self = std::ranges::find(view.members, state.self, &claims_member::id);
    state.isMember = self != view.members.end() && self->life == state.life;
    for (std::uint32_t number = 0; number < claimShardCount; ++number) {
        startShard(state, number, before);
    }
    requestMissingPages(state, now, effects);
}

void requestMissingPages(claims_home &state, instant now, std::vector<send_claim_message> &effects)
{
    state.nextPull.reset();
    for (const auto &[number, shard] : state.shards) {
        for (const auto &[home, progress] : shard.pendingPulls) {
            effects.push_back({.to = home, .message = makePull(state, number, home, progress.after)});
            state.nextPull = now + state.options.pullRetryInterval;
        }
    }
}

void receive(claims_home &state, vm_id from, const shard_pull &message, instant now,
             std::vector<send_claim_message> &effects)
{
    if (message.life != state.life) {
        return; // The records of the earlier life are lost. A reply would count as a complete transfer.
    }
    home_shard &shard = state.shards[message.shard % claimShardCount];
    shard.sealedBelow = std::max(shard.sealedBelow, message.epoch);
    effects.push_back({.to = from, .message = makePage(shard, message, now)});
}

void receive(claims_home &state, vm_id from, const shard_page &message, instant now,
             std::vector<send_claim_message> &effects)
{
    home_shard &shard = state.shards[message.shard % claimShardCount];
    const auto pull = shard.pendingPulls.find(from);
    const bool expected = message.epoch == state.placement.epoch && pull != shard.pendingPulls.end()
                          && pull->second.after == message.after;
    if (!expected || (message.records.empty() && !message.last)) {
        return; // The page is late, a duplicate or malformed.
    }
    for (const shard_record &each : message.records) {
        mergeRecord(state, each, now);
    }
    pull->second.ready = pull->second.ready && message.ready;
    if (!message.last) {
        pull->second.after = message.records.back().key;
        effects.push_back({.to = from, .message = makePull(state, message.shard, from, pull->second.after)});
        return;
    }
    shard.transferredFrom.insert(from);
    shard.transferredFromReady = shard.transferredFromReady || pull->second.ready;
    shard.pendingPulls.erase(pull);
    markReadyWhenComplete(state, message.shard, shard);
}

bool allShardsReady(const claims_home &state)
{
    for (std::uint32_t number = 0; number < state.placement.homes.size(); ++number) {
        const auto found = state.shards.find(number);
        if (state.isMember && isHome(state.placement.homes[number], state.self)
            && (found == state.shards.end() || !found->second.ready)) {
            return false;
        }
    }
    return true;
}

} // namespace guavafront
