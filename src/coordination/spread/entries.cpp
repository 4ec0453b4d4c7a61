#include "coordination/spread/spread_steps.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace guavafront
{

namespace
{

std::uint64_t hashOf(const spread_key &key)
{
    const std::uint64_t seed = key.owner.value ^ static_cast<std::uint64_t>(key.topic) << 56U;
    return XXH64(key.name.data(), key.name.size(), seed);
}

/// Whether a received copy of an own entry has the version of the stored one but another value: it was written before
/// this VM restarted under the same id.
bool conflictsWithOwn(const stored_entry &own, const spread_entry &copy)
{
    return own.version == copy.version && (own.removed != copy.removed || own.payload != copy.payload);
}

/// Handles a copy of an own entry that comes back from another VM. If it wasn't written since this VM started, it is
/// overwritten with the present value under a newer version, or withdrawn when there is none.
void reassertOwnEntry(spread_table &state, const spread_entry &entry, instant now)
{
    state.lastVersion = std::max(state.lastVersion, entry.version);
    const auto known = state.entries.find(entry.key);
    const bool held = known != state.entries.end();
    if (!held && entry.removed) {
        return;
    }
    if (!held) {
        writeOwnEntry(state, entry.key, true, {}, now);
    } else if (known->second.version < entry.version || conflictsWithOwn(known->second, entry)) {
        std::vector<std::byte> payload = known->second.payload;
        writeOwnEntry(state, entry.key, known->second.removed, std::move(payload), now);
    }
}

/// Removes an entry from the queue for a VM that sent it, unless this VM has a newer version.
void dropFromQueue(spread_table &state, vm_id from, const spread_entry &entry)
{
    const auto queue = state.queues.find(from);
    const auto known = state.entries.find(entry.key);
    if (queue != state.queues.end() && known != state.entries.end() && known->second.version <= entry.version) {
        queue->second.keys.erase(entry.key);
    }
}

/// Whether a received entry is newer than the stored one or, when none is stored, is not withdrawn and within the
/// limits.
bool shouldStore(const spread_table &state, const spread_entry &entry)
{
    const auto known = state.entries.find(entry.key);
    if (known != state.entries.end()) {
        return entry.version > known->second.version;
    }
    return !entry.removed && state.entries.size() < state.options.entryLimit
           && entry.payload.size() <= state.options.payloadLimitBytes
           && entry.key.name.size() <= state.options.nameLimitBytes;
}

} // namespace

void storeEntry(spread_table &state, const spread_entry &entry, instant now)
{
    stored_entry &stored = state.entries[entry.key];
    eraseEntry(state.index, stored.hash);
    const std::uint64_t keyHash = hashOf(entry.key);
    const std::uint64_t version = entry.version << 1U | static_cast<std::uint64_t>(entry.removed);
    const std::uint64_t valueHash = XXH64(entry.payload.data(), entry.payload.size(), keyHash);
    stored = {.version = entry.version,
              .removed = entry.removed,
              .payload = entry.payload,
              .hash = entryHash(state.index, keyHash, XXH64(&version, sizeof version, valueHash)),
              .storedAt = now};
    insertEntry(state.index, stored.hash, entry.key);
}

void eraseEntries(spread_table &state, std::span<const spread_key> keys)
{
    for (const spread_key &key : keys) {
        eraseEntry(state.index, state.entries.at(key).hash);
        state.entries.erase(key);
    }
}

void queueForPeers(spread_table &state, const spread_key &key, vm_id except)
{
    for (const vm_id peer : state.peers) {
        if (peer != except && peer != key.owner) {
            state.queues[peer].keys.insert(key);
        }
    }
}

void writeOwnEntry(spread_table &state, spread_key key, bool removed, std::vector<std::byte> payload, instant now)
{
    const spread_entry entry{
        .key = std::move(key), .version = ++state.lastVersion, .removed = removed, .payload = std::move(payload)};
    storeEntry(state, entry, now);
    queueForPeers(state, entry.key, {});
}

void receiveDelta(spread_table &state, vm_id from, const spread_delta &message, instant now,
                  std::vector<spread_effect> &effects)
{
    for (const spread_entry &entry : message.entries) {
        if (entry.key.owner == state.self) {
            reassertOwnEntry(state, entry, now);
            continue;
        }
        dropFromQueue(state, from, entry);
        const bool live = state.liveOwners.contains(entry.key.owner);
        const auto gone = state.goneOwners.find(entry.key.owner);
        const bool expired = gone != state.goneOwners.end() && now - gone->second > state.options.deadOwnerRetention;
        if (!shouldStore(state, entry) || (!live && expired)) {
            continue;
        }
        if (!live) {
            // The owner isn't known as live yet, or no longer: the retention time of its entries starts now.
            state.goneOwners.try_emplace(entry.key.owner, now);
        }
        storeEntry(state, entry, now);
        queueForPeers(state, entry.key, from);
        effects.emplace_back(entry_changed{entry});
    }
}

const stored_entry *findEntry(const spread_table &state, const spread_key &key)
{
    const auto found = state.entries.find(key);
    return found == state.entries.end() || found->second.removed ? nullptr : &found->second;
}

std::size_t encodedBytes(const spread_entry &entry)
{
    constexpr std::size_t fixedBytes = 26; // Array head, topic, two numbers of 9 bytes, flag and two lengths.
    return fixedBytes + entry.key.name.size() + entry.payload.size();
}

} // namespace guavafront
