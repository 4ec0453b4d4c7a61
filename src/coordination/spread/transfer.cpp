#include "coordination/spread/spread_steps.h"

#include <algorithm>
#include <utility>

namespace guavafront
{

namespace
{

/// When more entries than this are queued for a VM at once, their bytes are taken from the catch-up allowance.
constexpr std::size_t catchUpThresholdEntries = 256;

spread_entry entryOf(const spread_table &state, const spread_key &key)
{
    const stored_entry &stored = state.entries.at(key);
    return {.key = key, .version = stored.version, .removed = stored.removed, .payload = stored.payload};
}

/// Takes the most urgent entries off a queue, as many as fit into a message, and sets bytes to its approximate size.
/// Empty when no queued entry is in the table any more.
spread_delta takeDelta(const spread_table &state, peer_queue &queue, std::size_t &bytes)
{
    spread_delta message;
    bytes = state.options.messageOverheadBytes;
    while (!queue.keys.empty()) {
        const spread_key key = *queue.keys.begin();
        if (!state.entries.contains(key)) {
            queue.keys.erase(queue.keys.begin());
            continue;
        }
        spread_entry entry = entryOf(state, key);
        const std::size_t size = encodedBytes(entry);
        if (!message.entries.empty() && bytes + size > state.options.messageBytes) {
            break;
        }
        bytes += size;
        queue.keys.erase(queue.keys.begin());
        message.entries.push_back(std::move(entry));
    }
    return message;
}

/// Sends one delta to a VM; false when the queue has nothing to send or the allowance is used up.
bool sendOneDelta(spread_table &state, vm_id to, peer_queue &queue, std::vector<spread_effect> &effects)
{
    double &allowance = queue.catchUp ? state.catchUpAllowance : state.allowance;
    if (allowance <= 0) {
        return false;
    }
    std::size_t bytes = 0;
    spread_delta message = takeDelta(state, queue, bytes);
    queue.catchUp = queue.catchUp && !queue.keys.empty();
    if (message.entries.empty()) {
        return false;
    }
    allowance -= static_cast<double>(bytes);
    effects.emplace_back(send_spread{to, std::move(message)});
    return true;
}

/// Queues entries for a VM that lacks them.
void queueEntries(spread_table &state, vm_id to, std::span<const spread_key> keys)
{
    peer_queue &queue = state.queues[to];
    queue.keys.insert(keys.begin(), keys.end());
    queue.catchUp = queue.catchUp || keys.size() > catchUpThresholdEntries;
}

/// Whether, in more than half of the buckets, the other VM's table has no entries while this one has some.
bool lacksMostEntries(const spread_table &state, std::span<const std::uint32_t> other)
{
    const table_digest &own = state.index.digest;
    std::size_t lacking = 0;
    for (std::size_t i = 0; i < std::min(own.size(), other.size()); ++i) {
        lacking += other[i] == 0 && own[i] != 0 ? 1 : 0;
    }
    return lacking * 2 > own.size();
}

/// Takes the bytes of a message other than a delta from the allowance, which may become negative.
void chargeAllowance(spread_table &state, std::size_t bytes)
{
    state.allowance -= static_cast<double>(bytes + state.options.messageOverheadBytes);
}

} // namespace

void sendQueued(spread_table &state, std::vector<spread_effect> &effects)
{
    std::erase_if(state.queues, [](const auto &entry) { return entry.second.keys.empty(); });
    bool sent = !state.queues.empty();
    while (sent) {
        sent = false;
        const std::size_t count = state.queues.size();
        for (std::size_t i = 0; i < count; ++i) {
            const auto queue = std::next(state.queues.begin(), static_cast<std::ptrdiff_t>(state.nextPeer++ % count));
            sent = sendOneDelta(state, queue->first, queue->second, effects) || sent;
        }
    }
}

void sendDigest(spread_table &state, vm_id to, std::vector<spread_effect> &effects)
{
    chargeAllowance(state, state.index.digest.size() * sizeof(std::uint32_t));
    effects.emplace_back(send_spread{to, spread_digest{state.index.digest}});
}

void receiveDigest(spread_table &state, vm_id from, const spread_digest &message, random_source &random,
                   std::vector<spread_effect> &effects)
{
    if (lacksMostEntries(state, message.digest)) {
        peer_queue &queue = state.queues[from];
        for (const auto &[key, stored] : state.entries) {
            queue.keys.insert(key);
        }
        queue.catchUp = true;
        return;
    }
    const std::size_t first = random.below(state.options.buckets);
    bucket_summary summary = summarizeDifferences(state.index, message.digest, first, state.options.hashesPerSync);
    if (!summary.buckets.empty()) {
        std::ranges::sort(summary.hashes);
        chargeAllowance(state, summary.hashes.size() * sizeof(entry_hash));
        effects.emplace_back(send_spread{from, spread_summary{std::move(summary)}});
    }
}

void receiveSummary(spread_table &state, vm_id from, const spread_summary &message, std::vector<spread_effect> &effects)
{
    repair_plan<spread_key> plan = planRepair(state.index, message.summary);
    queueEntries(state, from, plan.keysToSend);
    if (!plan.hashesToRequest.empty()) {
        chargeAllowance(state, plan.hashesToRequest.size() * sizeof(entry_hash));
        effects.emplace_back(send_spread{from, spread_entry_request{std::move(plan.hashesToRequest)}});
    }
}

void receiveEntryRequest(spread_table &state, vm_id from, const spread_entry_request &message)
{
    std::vector<spread_key> keys;
    for (const entry_hash hash : message.hashes) {
        if (const spread_key *key = findEntry(state.index, hash)) {
            keys.push_back(*key);
        }
    }
    queueEntries(state, from, keys);
}

} // namespace guavafront
