#include <guavafront/coordination/replication/absent_voters.h>

#include <algorithm>

namespace guavafront
{

namespace
{

bool isLive(const control_vms_view &view, vm_id vm)
{
    return std::ranges::find(view.live, vm) != view.live.end();
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

std::optional<vm_id> memberToRemove(const replica &self, const control_vms_view &view, instant now)
{
    if (self.role != replica_role::Leader || self.membersIndex > self.commitIndex) {
        return std::nullopt;
    }
    const peer_progress *longest = nullptr; // Of the lost voters, the one that has been silent for longest.
    std::size_t lostVoters = 0;
    for (const peer_progress &peer : self.peers) {
        if (isLive(view, peer.id) || now - peer.lastContact < self.options.lostMemberLimit) {
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

} // namespace guavafront
