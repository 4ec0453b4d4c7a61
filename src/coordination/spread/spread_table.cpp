#include <guavafront/coordination/spread/spread_table.h>

#include "coordination/spread/spread_steps.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <algorithm>
#include <utility>

namespace guavafront
{

namespace
{

/// Adds the bytes for the time since the last tick to the allowances.
void refillAllowances(spread_table &state, instant now)
{
    const duration elapsed = state.lastTick ? now - *state.lastTick : duration{};
    state.lastTick = now;
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const spread_options &options = state.options;
    state.allowance = std::min(state.allowance + seconds * options.bytesPerSecond, options.burstBytes);
    state.catchUpAllowance =
        std::min(state.catchUpAllowance + seconds * options.catchUpBytesPerSecond, options.catchUpBytesPerSecond);
}

/// Keys of all entries of an owner.
std::vector<spread_key> keysOf(const spread_table &state, vm_id owner)
{
    std::vector<spread_key> keys;
    for (unsigned topic = 0; topic <= static_cast<unsigned>(spread_topic::Last); ++topic) {
        auto entry = state.entries.lower_bound({.topic = static_cast<spread_topic>(topic), .owner = owner});
        for (; entry != state.entries.end() && entry->first.owner == owner
               && entry->first.topic == static_cast<spread_topic>(topic);
             ++entry) {
            keys.push_back(entry->first);
        }
    }
    return keys;
}

/// Removes the entries of owners that have not been live for longer than deadOwnerRetention.
void expireOwners(spread_table &state, instant now, std::vector<spread_effect> &effects)
{
    for (const auto &[owner, since] : state.goneOwners) {
        if (now - since <= state.options.deadOwnerRetention) {
            continue;
        }
        const std::vector<spread_key> keys = keysOf(state, owner);
        for (const spread_key &key : keys) {
            const stored_entry &stored = state.entries.at(key);
            if (!stored.removed) {
                effects.emplace_back(entry_changed{{.key = key, .version = stored.version, .removed = true}});
            }
        }
        eraseEntries(state, keys);
    }
}

/// Removes tombstones and gone owners after tombstoneRetention, when no VM still sends the entries that they would
/// reject.
void forgetTombstones(spread_table &state, instant now)
{
    const duration retention = state.options.tombstoneRetention;
    std::vector<spread_key> keys;
    for (const auto &[key, stored] : state.entries) {
        if (stored.removed && now - stored.storedAt > retention) {
            keys.push_back(key);
        }
    }
    eraseEntries(state, keys);
    std::erase_if(state.goneOwners, [now, retention](const auto &entry) { return now - entry.second > retention; });
}

void tick(spread_table &state, instant now, random_source &random, std::vector<spread_effect> &effects)
{
    constexpr duration expiryPeriod = std::chrono::seconds(1);
    constexpr duration forgetPeriod = std::chrono::minutes(1);
    refillAllowances(state, now);
    if (now >= state.nextOwnerExpiry) {
        state.nextOwnerExpiry = now + expiryPeriod;
        expireOwners(state, now, effects);
    }
    if (now >= state.nextTombstoneExpiry) {
        state.nextTombstoneExpiry = now + forgetPeriod;
        forgetTombstones(state, now);
    }
    if (now >= state.nextSync && !state.peers.empty()) {
        const std::int64_t period = state.options.syncPeriod.count();
        const auto wait = static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(period)));
        state.nextSync = now + duration(period / 2 + wait);
        sendDigest(state, state.peers[random.below(state.peers.size())], effects);
    }
    sendQueued(state, effects);
}

void publish(spread_table &state, const spread_publish &event, instant now)
{
    if (event.payload.size() > state.options.payloadLimitBytes || event.name.size() > state.options.nameLimitBytes) {
        throw coordination_error(result_code::MessageTooLarge, "entry to spread is too large: " + event.name);
    }
    spread_key key{.topic = event.topic, .owner = state.self, .name = event.name};
    const stored_entry *known = findEntry(state, key);
    if (!known || known->payload != event.payload) {
        writeOwnEntry(state, std::move(key), false, event.payload, now);
    }
}

void withdraw(spread_table &state, const spread_withdraw &event, instant now)
{
    spread_key key{.topic = event.topic, .owner = state.self, .name = event.name};
    if (findEntry(state, key)) {
        writeOwnEntry(state, std::move(key), true, {}, now);
    }
}

/// Compares tables with each new peer at once, since either may lack any entry. A VM without entries asks only one
/// peer, since the answer of each would be the whole table.
void setPeers(spread_table &state, const std::vector<vm_id> &peers, std::vector<spread_effect> &effects)
{
    const std::vector<vm_id> before = std::exchange(state.peers, peers);
    for (const vm_id peer : peers) {
        if (std::ranges::find(before, peer) == before.end()) {
            sendDigest(state, peer, effects);
            if (state.entries.empty()) {
                return;
            }
        }
    }
}

/// Notes whether the owner of entries is live. The time of its death starts the retention time of its entries.
void setOwnerLive(spread_table &state, const spread_owner_changed &event, instant now)
{
    if (event.live) {
        state.liveOwners.insert(event.owner);
        state.goneOwners.erase(event.owner);
    } else if (state.liveOwners.erase(event.owner) > 0) {
        state.goneOwners.try_emplace(event.owner, now);
        state.queues.erase(event.owner);
    }
}

void receive(spread_table &state, const spread_received &event, instant now, random_source &random,
             std::vector<spread_effect> &effects)
{
    if (const auto *delta = std::get_if<spread_delta>(&event.message)) {
        receiveDelta(state, event.from, *delta, now, effects);
    } else if (const auto *digest = std::get_if<spread_digest>(&event.message)) {
        receiveDigest(state, event.from, *digest, random, effects);
    } else if (const auto *summary = std::get_if<spread_summary>(&event.message)) {
        receiveSummary(state, event.from, *summary, effects);
    } else {
        receiveEntryRequest(state, event.from, std::get<spread_entry_request>(event.message));
    }
}

} // namespace

spread_table makeSpreadTable(vm_id self, const spread_options &options)
{
    return {.options = options,
            .self = self,
            .index = digest_index<spread_key>(options.buckets),
            .liveOwners = {self},
            .allowance = options.burstBytes,
            .catchUpAllowance = options.catchUpBytesPerSecond};
}

void step(spread_table &state, const spread_event &event, instant now, random_source &random,
          std::vector<spread_effect> &effects)
{
    if (const auto *received = std::get_if<spread_received>(&event)) {
        receive(state, *received, now, random, effects);
    } else if (const auto *published = std::get_if<spread_publish>(&event)) {
        publish(state, *published, now);
    } else if (const auto *withdrawn = std::get_if<spread_withdraw>(&event)) {
        withdraw(state, *withdrawn, now);
    } else if (const auto *peers = std::get_if<spread_peers_changed>(&event)) {
        setPeers(state, peers->peers, effects);
    } else if (const auto *owner = std::get_if<spread_owner_changed>(&event)) {
        setOwnerLive(state, *owner, now);
    } else {
        tick(state, now, random, effects);
    }
}

} // namespace guavafront
