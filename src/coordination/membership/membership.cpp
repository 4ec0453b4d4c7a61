#include <guavafront/coordination/membership/membership.h>

#include "coordination/membership/membership_steps.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace guavafront
{

namespace
{

/// A gap of more probe periods than this between two ticks means that this VM was stalled.
constexpr int stallPeriods = 3;

void tick(fleet_membership &state, instant now, random_source &random, std::vector<membership_effect> &effects)
{
    const duration elapsed = state.lastTick ? now - *state.lastTick : duration{};
    state.lastTick = now;
    state.startedAt = state.startedAt.value_or(now);
    if (elapsed > state.options.probePeriod * stallPeriods) {
        resumeAfterStall(state, now);
    }
    refreshTargets(state, now, random, effects);
    probeTargets(state, now, random, effects);
    expireSuspicions(state, now, effects);
    refreshTargets(state, now, random, effects);
    runMaintenance(state, now, random, effects);
    sendPendingUpdates(state, elapsed, effects);
}

/// Answers a sender that this VM doesn't know as alive. A VM with another status is sent its record, so that it refutes
/// the status; an unknown VM is asked to compare tables, which makes the VMs known to each other.
void correctSender(const fleet_membership &state, vm_id from, std::vector<membership_effect> &effects)
{
    const auto sender = state.members.find(from);
    if (sender == state.members.end()) {
        effects.emplace_back(send_membership{from, "", membership_digest{state.self, state.index.digest}});
    } else if (sender->second.record.status != member_status::Alive) {
        membership_gossip message{.updates = {{.record = sender->second.record}}};
        effects.emplace_back(send_membership{from, sender->second.record.address, std::move(message)});
    }
}

void receiveGossip(fleet_membership &state, vm_id from, const membership_gossip &message, instant now,
                   std::vector<membership_effect> &effects)
{
    const std::uint32_t incarnationBefore = state.self.incarnation;
    const std::size_t effectsBefore = effects.size();
    for (const member_update &update : message.updates) {
        applyUpdate(state, update, !message.repair, now, effects);
    }
    if (message.repair && effects.size() > effectsBefore) {
        // Other VMs may lack the same records, which aren't passed on: tables are compared again soon.
        state.nextSync = std::min(state.nextSync, now + state.options.probePeriod);
    }
    if (state.self.incarnation != incarnationBefore) {
        membership_gossip answer{.updates = {{.record = state.self}}};
        effects.emplace_back(send_membership{from, "", std::move(answer)});
    }
}

void receive(fleet_membership &state, const membership_received &event, instant now,
             std::vector<membership_effect> &effects)
{
    const vm_id from = event.from;
    if (const auto *gossip = std::get_if<membership_gossip>(&event.message)) {
        receiveGossip(state, from, *gossip, now, effects);
        return;
    }
    if (const auto *digest = std::get_if<membership_digest>(&event.message)) {
        receiveDigest(state, from, *digest, now, effects);
    } else if (const auto *ping = std::get_if<membership_ping>(&event.message)) {
        receivePing(state, from, *ping, effects);
    } else if (const auto *ack = std::get_if<membership_ack>(&event.message)) {
        receiveAck(state, from, *ack, now, effects);
    } else if (const auto *request = std::get_if<membership_ping_request>(&event.message)) {
        receivePingRequest(state, from, *request, now, effects);
    } else if (const auto *summary = std::get_if<membership_summary>(&event.message)) {
        receiveSummary(state, from, *summary, effects);
    } else {
        receiveRecordRequest(state, from, std::get<membership_record_request>(event.message), effects);
    }
    correctSender(state, from, effects);
}

/// Sends the status Left to the probe targets at once, since no tick follows that would send it.
void leave(fleet_membership &state, std::vector<membership_effect> &effects)
{
    republishSelf(state, state.self.incarnation, member_status::Left);
    for (const auto &[id, target] : state.targets) {
        effects.emplace_back(send_membership{id, state.members.at(id).record.address,
                                             membership_gossip{.updates = {{.record = state.self}}}});
    }
}

} // namespace

fleet_membership makeMembership(member_record self, std::vector<std::string> seeds, const membership_options &options,
                                std::vector<std::string> book)
{
    assert(self.id.value != 0);
    fleet_membership state{.options = options,
                           .self = std::move(self),
                           .seeds = std::move(seeds),
                           .book = std::move(book),
                           .index = digest_index<vm_id>(options.buckets),
                           .updateAllowance = options.updateBurst};
    republishSelf(state, state.self.incarnation, member_status::Alive);
    return state;
}

void step(fleet_membership &state, const membership_event &event, instant now, random_source &random,
          std::vector<membership_effect> &effects)
{
    if (const auto *received = std::get_if<membership_received>(&event)) {
        if (received->from != state.self.id) {
            receive(state, *received, now, effects);
        }
    } else if (std::holds_alternative<membership_leave>(event)) {
        leave(state, effects);
    } else if (const auto *wanted = std::get_if<membership_ping_wanted>(&event)) {
        pingAnyWithRole(state, wanted->roles, now, random, effects);
    } else if (state.self.status != member_status::Left) {
        tick(state, now, random, effects);
    }
}

bool isLive(const fleet_membership &state, vm_id id)
{
    const member_record *record = findMember(state, id);
    return record && record->status <= member_status::Suspect;
}

const member_record *findMember(const fleet_membership &state, vm_id id)
{
    if (id == state.self.id) {
        return &state.self;
    }
    const auto found = state.members.find(id);
    return found == state.members.end() ? nullptr : &found->second.record;
}

std::vector<member_record> liveMembers(const fleet_membership &state)
{
    std::vector<member_record> live{state.self};
    for (const auto &[id, member] : state.members) {
        if (member.record.status <= member_status::Suspect) {
            live.push_back(member.record);
        }
    }
    std::ranges::sort(live, {}, [](const member_record &record) { return record.id.value; });
    return live;
}

std::vector<member_record> missingMembers(const fleet_membership &state)
{
    std::unordered_set<std::string_view> liveAddresses{state.self.address};
    for (const auto &[id, member] : state.members) {
        if (member.record.status <= member_status::Suspect) {
            liveAddresses.insert(member.record.address);
        }
    }
    std::vector<member_record> missing;
    for (const auto &[id, member] : state.members) {
        if (member.record.status == member_status::Dead && !liveAddresses.contains(member.record.address)) {
            missing.push_back(member.record);
        }
    }
    std::ranges::sort(missing, {}, [](const member_record &record) { return record.id.value; });
    return missing;
}

double aliveShare(const fleet_membership &state, instant now)
{
    const auto alive = static_cast<double>(state.aliveCount);
    return answeringShare(state, now) * alive / (alive + static_cast<double>(state.missingCount));
}

std::uint64_t viewFingerprint(const fleet_membership &state)
{
    std::uint64_t fingerprint = 0;
    for (const member_record &each : liveMembers(state)) {
        fingerprint ^= random_source{each.id.value}();
    }
    return fingerprint;
}

} // namespace guavafront
