#include "coordination/membership/membership_steps.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <unordered_set>
#include <utility>

namespace guavafront
{

namespace
{

constexpr std::uint32_t maxLocalHealthMultiplier = 3; // Same limit as in records.cpp.
constexpr std::size_t maxRelayedPings = 64;

/// Number of probe periods after which an answer no longer counts as recent and a ping sent as a helper is dropped.
constexpr int staleAfterPeriods = 3;

/// Pseudo-random position of a VM on a ring; each ring orders the VMs differently.
std::uint64_t ringPosition(vm_id id, std::uint64_t ring)
{
    return XXH64(&id.value, sizeof id.value, ring);
}

/// The nearest live VM after this one on a ring that is not chosen yet; 0 when there is none. When dataCentre isn't
/// empty, only VMs of that data centre are considered.
vm_id successorOnRing(const fleet_membership &state, std::uint64_t ring, std::string_view dataCentre,
                      const std::map<vm_id, probe_target> &chosen)
{
    const std::uint64_t own = ringPosition(state.self.id, ring);
    vm_id nearest;
    std::uint64_t nearestDistance = 0;
    for (const auto &[id, member] : state.members) {
        if (member.record.status > member_status::Suspect || chosen.contains(id)
            || (!dataCentre.empty() && member.record.dataCentre != dataCentre)) {
            continue;
        }
        const std::uint64_t distance = ringPosition(id, ring) - own; // Unsigned: wraps around the ring.
        if (nearest.value == 0 || distance < nearestDistance) {
            nearest = id;
            nearestDistance = distance;
        }
    }
    return nearest;
}

/// Chooses the VMs to probe: the successor on each ring. The first ring consists of the VMs of one data centre, so that
/// each data centre stays connected within itself when links between data centres fail in one direction. The other
/// rings consist of the whole fleet.
std::vector<vm_id> chooseSuccessors(const fleet_membership &state)
{
    std::map<vm_id, probe_target> chosen;
    std::vector<vm_id> result;
    for (std::uint64_t ring = 0; ring < state.options.ringCount; ++ring) {
        vm_id id = ring == 0 ? successorOnRing(state, ring, state.self.dataCentre, chosen) : vm_id{};
        if (id.value == 0) {
            id = successorOnRing(state, ring, {}, chosen);
        }
        if (id.value != 0) {
            chosen[id] = {};
            result.push_back(id);
        }
    }
    return result;
}

/// Counts the live and the missing VMs.
void countMembers(fleet_membership &state)
{
    state.aliveCount = 1 + static_cast<std::size_t>(std::ranges::count_if(state.members, [](const auto &entry) {
                           return entry.second.record.status <= member_status::Suspect;
                       }));
    state.missingCount = missingMembers(state).size();
}

/// Time until the next ping of a target. Pings are more frequent during the join phase, since the answers carry what a
/// new VM needs, above all the control leader's beacon.
duration pauseBetweenPings(const fleet_membership &state, instant now)
{
    const bool joining = !state.startedAt || now - *state.startedAt < state.options.joinPhaseDuration;
    return joining ? std::min(state.options.joinPeriod, state.options.probePeriod) : state.options.probePeriod;
}

void sendPing(fleet_membership &state, vm_id id, probe_target &target, instant now,
              std::vector<membership_effect> &effects)
{
    target.nonce = ++state.lastNonce;
    target.sentAt = now;
    target.helpersAsked = false;
    target.nextProbe = now + pauseBetweenPings(state, now);
    effects.emplace_back(send_membership{id, state.members.at(id).record.address, membership_ping{target.nonce}});
}

/// A pseudo-random VM with status Alive that satisfies the condition; 0 when there is none.
vm_id randomHelper(const fleet_membership &state, random_source &random,
                   const std::function<bool(const member_record &)> &fits)
{
    vm_id chosen;
    std::uint64_t best = 0;
    for (const auto &[id, member] : state.members) {
        const std::uint64_t rank = ringPosition(id, state.lastNonce ^ random.state);
        if (member.record.status == member_status::Alive && rank >= best && fits(member.record)) {
            chosen = id;
            best = rank;
        }
    }
    return chosen;
}

/// Asks helpers that reach the silent VM by other network paths: first one in a third data centre, then one in the
/// silent VM's data centre, then any.
void requestIndirectProbes(fleet_membership &state, vm_id id, probe_target &target, random_source &random,
                           std::vector<membership_effect> &effects)
{
    target.helpersAsked = true;
    random();
    const member_record &silent = state.members.at(id).record;
    std::vector<vm_id> helpers;
    const auto isNew = [&helpers, id](const member_record &record) {
        return record.id != id && std::ranges::find(helpers, record.id) == helpers.end();
    };
    for (std::size_t i = 0; i < state.options.helperCount; ++i) {
        const vm_id helper = randomHelper(state, random, [&](const member_record &record) {
            const bool inThirdDataCentre =
                record.dataCentre != silent.dataCentre && record.dataCentre != state.self.dataCentre;
            const bool fits = i == 0 ? inThirdDataCentre : i == 1 ? record.dataCentre == silent.dataCentre : true;
            return fits && isNew(record);
        });
        if (helper.value != 0) {
            helpers.push_back(helper);
        }
    }
    for (const vm_id helper : helpers) {
        effects.emplace_back(send_membership{helper, state.members.at(helper).record.address,
                                             membership_ping_request{target.nonce, id, silent.address}});
    }
}

/// Notes the answer to a ping; it is evidence that this VM is healthy, too.
void recordAnswer(fleet_membership &state, probe_target &target, instant now)
{
    target.nonce = 0;
    target.lastAnswerAt = now;
    state.localHealthMultiplier -= state.localHealthMultiplier > 0 ? 1 : 0;
}

} // namespace

double answeringShare(const fleet_membership &state, instant now)
{
    if (state.targets.empty()) {
        return 1;
    }
    const duration limit = state.options.probePeriod * staleAfterPeriods;
    const auto heard = std::ranges::count_if(
        state.targets, [now, limit](const auto &entry) { return now - entry.second.lastAnswerAt <= limit; });
    return static_cast<double>(heard) / static_cast<double>(state.targets.size());
}

void refreshTargets(fleet_membership &state, instant now, random_source &random,
                    std::vector<membership_effect> &effects)
{
    if (!std::exchange(state.targetsOutdated, false)) {
        return;
    }
    countMembers(state);
    std::map<vm_id, probe_target> chosen;
    for (const vm_id id : chooseSuccessors(state)) {
        const auto known = state.targets.find(id);
        const auto wait =
            static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(pauseBetweenPings(state, now).count())));
        chosen[id] = known != state.targets.end()
                         ? known->second
                         : probe_target{.nextProbe = now + duration(wait), .lastAnswerAt = now};
    }
    const bool same = std::ranges::equal(chosen, state.targets,
                                         [](const auto &left, const auto &right) { return left.first == right.first; });
    state.targets = std::move(chosen);
    if (!same) {
        effects.emplace_back(targets_changed{});
    }
}

void probeTargets(fleet_membership &state, instant now, random_source &random, std::vector<membership_effect> &effects)
{
    std::vector<vm_id> failed;
    for (auto &[id, target] : state.targets) {
        const duration elapsed = now - target.sentAt;
        const int factor = 1 + static_cast<int>(state.localHealthMultiplier);
        if (target.nonce != 0 && !target.helpersAsked && elapsed >= state.options.probeTimeout * factor) {
            requestIndirectProbes(state, id, target, random, effects);
        }
        if (target.nonce != 0 && elapsed >= state.options.probePeriod * factor) {
            target.nonce = 0;
            failed.push_back(id);
        }
        if (target.nonce == 0 && now >= target.nextProbe) {
            sendPing(state, id, target, now, effects);
        }
    }
    for (const vm_id id : failed) {
        state.localHealthMultiplier = std::min(state.localHealthMultiplier + 1, maxLocalHealthMultiplier);
        accuse(state, id, now, effects);
    }
}

void pingAnyWithRole(fleet_membership &state, std::uint8_t roles, instant now, random_source &random,
                     std::vector<membership_effect> &effects)
{
    const duration limit = state.options.probePeriod * staleAfterPeriods;
    std::erase_if(state.extraPings, [now, limit](const auto &entry) { return now - entry.second.sentAt > limit; });
    for (const bool live : {true, false}) {
        std::vector<vm_id> fitting;
        for (const auto &[id, member] : state.members) {
            const bool isLive = member.record.status <= member_status::Suspect;
            const bool mayAnswer = isLive || member.record.status == member_status::Dead;
            if (isLive == live && mayAnswer && (member.record.roles & roles) != 0) {
                fitting.push_back(id);
            }
        }
        if (fitting.empty()) {
            continue;
        }
        std::ranges::sort(fitting);
        const vm_id target = fitting[random.below(fitting.size())];
        const std::uint64_t nonce = ++state.lastNonce;
        state.extraPings[nonce] = {.target = target, .sentAt = now};
        effects.emplace_back(send_membership{target, state.members.at(target).record.address, membership_ping{nonce}});
    }
}

void resumeAfterStall(fleet_membership &state, instant now)
{
    for (auto &[id, target] : state.targets) {
        target.nonce = 0;
        target.nextProbe = now;
        target.lastAnswerAt = now;
    }
    for (const vm_id id : state.suspects) {
        known_member &member = state.members.at(id);
        member.suspicionEnds = now + state.options.suspicionLongest;
    }
}

void receivePing(const fleet_membership &state, vm_id from, const membership_ping &ping,
                 std::vector<membership_effect> &effects)
{
    const member_record *sender = findMember(state, from);
    effects.emplace_back(send_membership{from, sender ? sender->address : "", membership_ack{.nonce = ping.nonce}});
}

void receiveAck(fleet_membership &state, vm_id from, const membership_ack &ack, instant now,
                std::vector<membership_effect> &effects)
{
    if (const auto relayed = state.relayed.find(ack.nonce); relayed != state.relayed.end()) {
        const member_record *origin = findMember(state, relayed->second.origin);
        effects.emplace_back(send_membership{relayed->second.origin, origin ? origin->address : "",
                                             membership_ack{.nonce = relayed->second.originNonce}});
        state.relayed.erase(relayed);
        return;
    }
    if (const auto extra = state.extraPings.find(ack.nonce); extra != state.extraPings.end()) {
        if (extra->second.target == from) {
            effects.emplace_back(probe_answered{from, extra->second.sentAt});
        }
        state.extraPings.erase(extra);
        return;
    }
    const auto probed = std::ranges::find_if(
        state.targets, [&ack](const auto &entry) { return ack.nonce != 0 && entry.second.nonce == ack.nonce; });
    if (probed == state.targets.end()) {
        return;
    }
    if (probed->first == from) {
        effects.emplace_back(probe_answered{from, probed->second.sentAt});
    }
    recordAnswer(state, probed->second, now);
}

void receivePingRequest(fleet_membership &state, vm_id from, const membership_ping_request &request, instant now,
                        std::vector<membership_effect> &effects)
{
    const duration limit = state.options.probePeriod * staleAfterPeriods;
    std::erase_if(state.relayed, [now, limit](const auto &entry) { return now - entry.second.sentAt > limit; });
    if (state.relayed.size() >= maxRelayedPings) {
        return;
    }
    const std::uint64_t nonce = ++state.lastNonce;
    state.relayed[nonce] = {.origin = from, .originNonce = request.nonce, .sentAt = now};
    effects.emplace_back(send_membership{request.target, request.address, membership_ping{nonce}});
}

} // namespace guavafront
