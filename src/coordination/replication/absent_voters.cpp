#include <guavafront/coordination/replication/absent_voters.h>

#include <algorithm>
#include <iterator>

namespace guavafront
{

namespace
{

bool isLive(const control_vms_view &view, vm_id vm)
{
    return std::ranges::find(view.live, vm) != view.live.end();
}

/// Returns whether a member is presumed lost: the failure detector holds it dead, and it has been silent for
/// lostMemberLimit.
bool isLost(const replica &self, const control_vms_view &view, const peer_progress &peer, instant now)
{
    return !isLive(view, peer.id) && now - peer.lastContact >= self.options.lostMemberLimit;
}

bool isBeingReplaced(const membership &members, vm_id vm)
{
    return std::ranges::find(members.members, vm, &member::replaces) != members.members.end();
}

std::string_view addressOf(const control_vms_view &view, vm_id vm)
{
    const auto found = view.addresses.find(vm);
    return found == view.addresses.end() ? std::string_view() : found->second;
}

} // namespace

vm_id memberToReplace(const replica &self, const control_vms_view &view, vm_id joining)
{
    const std::string_view address = addressOf(view, joining);
    if (address.empty()) {
        return {};
    }
    const auto found = std::ranges::find_if(self.members.members, [&](const member &each) {
        const bool live = each.id == self.options.self || isLive(view, each.id);
        return !live && addressOf(view, each.id) == address;
    });
    return found == self.members.members.end() ? vm_id{} : found->id;
}

std::vector<vm_id> waitingVms(const replica &self, const control_vms_view &view)
{
    std::vector<vm_id> waiting;
    std::ranges::copy_if(view.live, std::back_inserter(waiting), [&self](vm_id vm) {
        return findMember(self.members, vm) == nullptr && vm != self.options.self;
    });
    return waiting;
}

std::optional<admission> vmToAdmit(const replica &self, const control_vms_view &view, instant now)
{
    const bool isStable = self.membersIndex <= self.commitIndex && self.termStartIndex <= self.commitIndex;
    if (self.role != replica_role::Leader || !isStable || self.members.members.size() >= maxMembers) {
        return std::nullopt;
    }
    const std::vector<vm_id> waiting = waitingVms(self, view);
    if (waiting.empty() || !isCurrent(self, now)) {
        return std::nullopt;
    }
    const vm_id joining = waiting.front();
    const vm_id former = memberToReplace(self, view, joining);
    const bool hasVacancy = self.members.members.size() < self.options.targetVoters;
    if (former.value != 0 || hasVacancy) {
        return admission{joining, former};
    }
    const peer_progress *longest = nullptr; // Of the lost members, the one that has been silent for longest.
    for (const peer_progress &peer : self.peers) {
        const bool replaceable = isLost(self, view, peer, now) && !isBeingReplaced(self.members, peer.id);
        longest = replaceable && (longest == nullptr || peer.lastContact < longest->lastContact) ? &peer : longest;
    }
    return longest == nullptr ? std::nullopt : std::optional(admission{joining, longest->id});
}

std::optional<vm_id> memberToRemove(const replica &self, const control_vms_view &view, instant now)
{
    if (self.role != replica_role::Leader || self.membersIndex > self.commitIndex) {
        return std::nullopt;
    }
    const peer_progress *longest = nullptr; // Of the lost voters, the one that has been silent for longest.
    std::size_t lostVoters = 0;
    for (const peer_progress &peer : self.peers) {
        if (!isLost(self, view, peer, now)) {
            continue;
        }
        if (!isVoter(self.members, peer.id)) {
            return peer.id;
        }
        ++lostVoters;
        longest = longest == nullptr || peer.lastContact < longest->lastContact ? &peer : longest;
    }
    const std::size_t voters = voterCount(self.members);
    if (longest == nullptr || voters <= std::min(self.options.minVoters, self.options.targetVoters)) {
        return std::nullopt;
    }
    const bool isQuorumEasier = voters % 2 == 0 || lostVoters > 1;
    const bool isAbsent = now - longest->lastContact >= self.options.absentVoterLimit;
    return isQuorumEasier || isAbsent ? std::optional(longest->id) : std::nullopt;
}

vm_id vmTowardsLeader(const replica &self, const control_vms_view &view, std::uint64_t turn)
{
    const bool isMember = findMember(self.members, self.options.self) != nullptr;
    if (isMember && self.leader.value == 0 && !self.refusals.empty()) {
        return self.refusals[turn % self.refusals.size()]; // This VM may have been removed without its knowledge.
    }
    // A VM that was removed may remember a leader that has died since.
    if (isMember || isLive(view, self.leader)) {
        return self.leader;
    }
    return view.live.empty() ? vm_id{} : view.live[turn % view.live.size()];
}

} // namespace guavafront
