#include "coordination/membership/membership_steps.h"

#include <algorithm>
#include <iterator>
#include <unordered_set>

namespace guavafront
{

namespace
{

/// Time after the start in which only seeds are tried. They answer at once unless they are gone or out of reach.
constexpr duration seedsFirstDuration = std::chrono::seconds(1);
/// Addresses of the book that a VM tries in each joinPeriod.
constexpr std::size_t bookTriesWhileJoining = 4;

/// Asks a VM to compare tables.
void sendDigest(const fleet_membership &state, vm_id to, const std::string &address,
                std::vector<membership_effect> &effects)
{
    effects.emplace_back(send_membership{to, address, membership_digest{state.self, state.index.digest}});
}

std::string addressOf(const fleet_membership &state, vm_id id)
{
    const member_record *record = findMember(state, id);
    return record ? record->address : std::string();
}

/// An update with the present record of a VM.
member_update makeUpdate(const fleet_membership &state, vm_id id, vm_id accuser)
{
    return {.record = *findMember(state, id), .accuser = accuser};
}

/// Sends records as repair messages, updatesPerMessage in each.
void sendRecords(const fleet_membership &state, vm_id to, std::span<const vm_id> ids,
                 std::vector<membership_effect> &effects)
{
    const std::string address = addressOf(state, to);
    for (std::size_t first = 0; first < ids.size(); first += state.options.updatesPerMessage) {
        membership_gossip message{.repair = true};
        for (const vm_id id : ids.subspan(first, std::min(state.options.updatesPerMessage, ids.size() - first))) {
            message.updates.push_back(makeUpdate(state, id, {}));
        }
        effects.emplace_back(send_membership{to, address, std::move(message)});
    }
}

/// Addresses at which a VM is known to be live, this one's included.
std::unordered_set<std::string_view> liveAddresses(const fleet_membership &state)
{
    std::unordered_set<std::string_view> addresses{state.self.address};
    for (const auto &[id, member] : state.members) {
        if (member.record.status <= member_status::Suspect) {
            addresses.insert(member.record.address);
        }
    }
    return addresses;
}

/// Addresses to try to reach: those of dead VMs and seeds at which no live VM is known. The id is 0 for a seed.
std::vector<std::pair<vm_id, std::string>> reconnectAddresses(const fleet_membership &state)
{
    const std::unordered_set<std::string_view> live = liveAddresses(state);
    std::vector<std::pair<vm_id, std::string>> result;
    for (const auto &[id, member] : state.members) {
        if (member.record.status == member_status::Dead && !live.contains(member.record.address)) {
            result.emplace_back(id, member.record.address);
        }
    }
    std::ranges::sort(result);
    for (const std::string &seed : state.seeds) {
        if (!live.contains(seed)) {
            result.emplace_back(vm_id{}, seed);
        }
    }
    return result;
}

/// Asks a random dead VM or seed to compare tables, which joins a fleet that was split; asks all of them while no other
/// VM is known to be live.
void reconnect(fleet_membership &state, instant now, random_source &random, std::vector<membership_effect> &effects)
{
    constexpr std::size_t fleetTriesPerPeriod = 64;
    const auto addresses = reconnectAddresses(state);
    if (state.aliveCount == 1) {
        for (const auto &[id, address] : addresses) {
            sendDigest(state, id, address, effects);
        }
        state.nextReconnect = now + state.options.joinPeriod;
        return;
    }
    if (!addresses.empty()) {
        const auto &[id, address] = addresses[random.below(addresses.size())];
        sendDigest(state, id, address, effects);
    }
    // The wait grows with the fleet, so that all VMs together make at most about fleetTriesPerPeriod tries in a
    // reconnectPeriod.
    const auto factor = static_cast<int>(1 + state.aliveCount / fleetTriesPerPeriod);
    const std::int64_t wait = (state.options.reconnectPeriod * factor).count();
    state.nextReconnect =
        now + duration(wait / 2 + static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(wait))));
}

/// Asks whoever answers at some addresses in the book, where no live VM is known, to compare tables: several while this
/// VM is alone or has just started, since others may have no way of their own to it. The seeds come first.
void tryBook(fleet_membership &state, instant now, random_source &random, std::vector<membership_effect> &effects)
{
    const duration sinceStart = now - state.startedAt.value_or(now);
    if (sinceStart < seedsFirstDuration) {
        return;
    }
    const std::unordered_set<std::string_view> live = liveAddresses(state);
    std::vector<std::string_view> missing;
    std::ranges::copy_if(state.book, std::back_inserter(missing),
                         [&live](const std::string &address) { return !live.contains(address); });
    const bool isJoining = state.aliveCount == 1 || sinceStart < state.options.joinPhaseDuration;
    const std::size_t tries = std::min(missing.size(), isJoining ? bookTriesWhileJoining : 1);
    for (std::size_t index = 0; index < tries; ++index) {
        std::swap(missing[index], missing[index + random.below(missing.size() - index)]);
        sendDigest(state, {}, std::string(missing[index]), effects);
    }
    const std::int64_t wait = state.options.reconnectPeriod.count();
    state.nextBookTry =
        now
        + (isJoining ? state.options.joinPeriod
                     : duration(wait / 2 + static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(wait)))));
}

/// Removes the records of VMs that have been dead, or have left, for longer than the retention time.
void forgetOldMembers(fleet_membership &state, instant now, std::vector<membership_effect> &effects)
{
    std::vector<vm_id> old;
    for (const auto &[id, member] : state.members) {
        if (member.record.status > member_status::Suspect && now - member.statusSince > state.options.retention) {
            old.push_back(id);
        }
    }
    std::ranges::sort(old, {}, &vm_id::value);
    for (const vm_id id : old) {
        eraseEntry(state.index, state.members.at(id).hash);
        state.members.erase(id);
        state.pendingUpdates.erase(id);
        state.targetsOutdated = true;
        effects.emplace_back(member_forgotten{id});
    }
}

} // namespace

void sendPendingUpdates(fleet_membership &state, duration elapsed, std::vector<membership_effect> &effects)
{
    const double earned = std::chrono::duration<double>(elapsed).count() * state.options.updatesPerSecond;
    state.updateAllowance = std::min(state.updateAllowance + earned, state.options.updateBurst);
    if (state.pendingUpdates.empty() || state.targets.empty() || state.updateAllowance < 1) {
        return;
    }
    membership_gossip message;
    const std::size_t limit =
        std::min(state.options.updatesPerMessage, static_cast<std::size_t>(state.updateAllowance));
    while (!state.pendingUpdates.empty() && message.updates.size() < limit) {
        const auto [id, accuser] = *state.pendingUpdates.begin();
        state.pendingUpdates.erase(state.pendingUpdates.begin());
        message.updates.push_back(makeUpdate(state, id, accuser));
    }
    state.updateAllowance -= static_cast<double>(message.updates.size());
    for (const auto &[id, target] : state.targets) {
        effects.emplace_back(send_membership{id, addressOf(state, id), message});
    }
}

void runMaintenance(fleet_membership &state, instant now, random_source &random,
                    std::vector<membership_effect> &effects)
{
    if (now >= state.nextReconnect) {
        reconnect(state, now, random, effects);
    }
    if (!state.book.empty() && now >= state.nextBookTry) {
        tryBook(state, now, random, effects);
    }
    if (now < state.nextSync) {
        return;
    }
    const std::int64_t period = state.options.syncPeriod.count();
    state.nextSync =
        now + duration(period / 2 + static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(period))));
    forgetOldMembers(state, now, effects);
    if (!state.targets.empty()) {
        const auto chosen =
            std::next(state.targets.begin(), static_cast<std::ptrdiff_t>(random.below(state.targets.size())));
        sendDigest(state, chosen->first, addressOf(state, chosen->first), effects);
    }
}

void receiveDigest(fleet_membership &state, vm_id from, const membership_digest &message, instant now,
                   std::vector<membership_effect> &effects)
{
    if (message.sender.id != from) {
        return;
    }
    applyUpdate(state, {.record = message.sender}, true, now, effects);
    bucket_summary summary = summarizeDifferences(state.index, message.digest, 0, state.options.memberLimit);
    if (!summary.buckets.empty()) {
        std::ranges::sort(summary.hashes);
        effects.emplace_back(send_membership{from, addressOf(state, from), membership_summary{std::move(summary)}});
    }
}

void receiveSummary(const fleet_membership &state, vm_id from, const membership_summary &message,
                    std::vector<membership_effect> &effects)
{
    repair_plan<vm_id> plan = planRepair(state.index, message.summary);
    std::ranges::sort(plan.keysToSend, {}, &vm_id::value);
    sendRecords(state, from, plan.keysToSend, effects);
    if (!plan.hashesToRequest.empty()) {
        effects.emplace_back(
            send_membership{from, addressOf(state, from), membership_record_request{std::move(plan.hashesToRequest)}});
    }
}

void receiveRecordRequest(const fleet_membership &state, vm_id from, const membership_record_request &message,
                          std::vector<membership_effect> &effects)
{
    std::vector<vm_id> ids;
    for (const entry_hash hash : message.hashes) {
        if (const vm_id *id = findEntry(state.index, hash)) {
            ids.push_back(*id);
        }
    }
    sendRecords(state, from, ids, effects);
}

} // namespace guavafront
