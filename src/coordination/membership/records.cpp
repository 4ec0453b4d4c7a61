#include "coordination/membership/membership_steps.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace guavafront
{

namespace
{

/// Number of accusers from which on the shortest suspicion time applies; no more are recorded.
constexpr std::size_t accusersForShortest = 3;

/// Hash of a record for the digest. A suspect has the hash of an alive VM, so that tables don't differ by a suspicion,
/// which ends soon anyway: the VM refutes it or is declared dead.
entry_hash hashOf(const fleet_membership &state, const member_record &record)
{
    const member_status status = record.status == member_status::Suspect ? member_status::Alive : record.status;
    const std::uint64_t version = std::uint64_t{record.incarnation} << 8U | static_cast<std::uint64_t>(status);
    const std::uint64_t keyHash = XXH64(&record.id.value, sizeof record.id.value, 0);
    return entryHash(state.index, keyHash, XXH64(record.address.data(), record.address.size(), keyHash ^ version));
}

/// Time that a suspect has to refute, after Lifeguard: falls with the logarithm of the number of accusers, from
/// suspicionLongest for one to suspicionShortest for accusersForShortest.
duration suspicionTime(const membership_options &options, std::size_t accusers)
{
    const double confirmed = std::log(static_cast<double>(std::clamp<std::size_t>(accusers, 1, accusersForShortest)));
    const double share = confirmed / std::log(static_cast<double>(accusersForShortest));
    const auto range = static_cast<double>((options.suspicionLongest - options.suspicionShortest).count());
    return options.suspicionLongest - duration(static_cast<std::int64_t>(range * share));
}

/// Adds an accuser of a suspect, which leaves the suspect less time to refute. False when the accuser is 0 or already
/// known or when enough are known.
bool addAccuser(fleet_membership &state, known_member &member, vm_id accuser)
{
    if (accuser.value == 0 || member.accusers.size() >= accusersForShortest
        || std::ranges::find(member.accusers, accuser) != member.accusers.end()) {
        return false;
    }
    member.accusers.push_back(accuser);
    const instant ends = member.statusSince + suspicionTime(state.options, member.accusers.size());
    member.suspicionEnds = member.accusers.size() == 1 ? ends : std::min(member.suspicionEnds, ends);
    return true;
}

/// Replaces the stored record of a VM and updates digest, suspects and suspicion.
void store(fleet_membership &state, known_member &member, const member_update &update, instant now)
{
    eraseEntry(state.index, member.hash);
    member.record = update.record;
    member.hash = hashOf(state, member.record);
    insertEntry(state.index, member.hash, member.record.id);
    member.statusSince = now;
    member.accusers.clear();
    if (member.record.status == member_status::Suspect) {
        state.suspects.insert(member.record.id);
        member.suspicionEnds = now + state.options.suspicionLongest;
        addAccuser(state, member, update.accuser);
    } else {
        state.suspects.erase(member.record.id);
    }
    state.targetsOutdated = true;
}

/// Handles a record of this VM from another one. A record that contradicts this VM's own is refuted with a higher
/// incarnation. That others suspected this VM is evidence that it is unhealthy, so that its probe timeouts grow.
void applyToSelf(fleet_membership &state, const member_record &record)
{
    constexpr std::uint32_t maxLocalHealthMultiplier = 3; // Same limit as in probing.cpp.
    const bool outranked = record.incarnation > state.self.incarnation;
    const bool contradicted = record.incarnation == state.self.incarnation
                              && (record.status != state.self.status || record.address != state.self.address);
    if (state.self.status == member_status::Left || (!outranked && !contradicted)) {
        return;
    }
    republishSelf(state, record.incarnation + 1, member_status::Alive);
    state.localHealthMultiplier = std::min(state.localHealthMultiplier + 1, maxLocalHealthMultiplier);
}

} // namespace

void republishSelf(fleet_membership &state, std::uint32_t incarnation, member_status status)
{
    eraseEntry(state.index, state.selfHash);
    state.self.incarnation = incarnation;
    state.self.status = status;
    state.selfHash = hashOf(state, state.self);
    insertEntry(state.index, state.selfHash, state.self.id);
    state.pendingUpdates[state.self.id] = {};
}

void applyUpdate(fleet_membership &state, const member_update &update, bool passOn, instant now,
                 std::vector<membership_effect> &effects)
{
    const member_record &record = update.record;
    if (record.id == state.self.id) {
        applyToSelf(state, record);
        return;
    }
    const auto found = state.members.find(record.id);
    const bool unknown = found == state.members.end();
    if (unknown && (record.status > member_status::Suspect || state.members.size() >= state.options.memberLimit)) {
        return;
    }
    if (!unknown && !overrides(record, found->second.record)) {
        known_member &known = found->second;
        const bool sameSuspicion = known.record.status == member_status::Suspect
                                   && record.status == member_status::Suspect
                                   && known.record.incarnation == record.incarnation;
        if (sameSuspicion && addAccuser(state, known, update.accuser) && passOn) {
            state.pendingUpdates[record.id] = update.accuser;
        }
        return;
    }
    store(state, state.members[record.id], update, now);
    if (passOn) {
        state.pendingUpdates[record.id] = update.accuser;
    }
    effects.emplace_back(member_changed{record});
}

void accuse(fleet_membership &state, vm_id target, instant now, std::vector<membership_effect> &effects)
{
    const auto found = state.members.find(target);
    if (found == state.members.end() || found->second.record.status > member_status::Suspect) {
        return;
    }
    member_record record = found->second.record;
    record.status = member_status::Suspect;
    applyUpdate(state, {.record = std::move(record), .accuser = state.self.id}, true, now, effects);
}

void expireSuspicions(fleet_membership &state, instant now, std::vector<membership_effect> &effects)
{
    // When most probe targets are silent, it is more likely that this VM is cut off from the network than that they are
    // dead; the others would only refute what it declares.
    const bool cutOff = state.targets.size() > 1 && answeringShare(state, now) < 0.5;
    const std::set<vm_id> suspects = state.suspects;
    for (const vm_id id : suspects) {
        known_member &member = state.members.at(id);
        if (now < member.suspicionEnds) {
            continue;
        }
        if (cutOff) {
            member.suspicionEnds = now + state.options.suspicionShortest;
            continue;
        }
        member_record record = member.record;
        record.status = member_status::Dead;
        applyUpdate(state, {.record = std::move(record)}, true, now, effects);
    }
}

} // namespace guavafront
