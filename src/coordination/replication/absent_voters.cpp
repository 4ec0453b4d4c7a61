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

std::optional<vm_id> voterToRemove(const replica &self, const control_vms_view &view, instant now)
{
    if (self.role != replica_role::Leader || self.membersIndex > self.commitIndex) {
        return std::nullopt;
    }
    const auto found = std::ranges::find_if(self.peers, [&](const peer_progress &peer) {
        const bool silent = now - peer.lastContact >= self.options.absentVoterLimit;
        return silent && !isLive(view, peer.id) && isVoter(self.members, peer.id);
    });
    return found == self.peers.end() ? std::nullopt : std::optional(found->id);
}

} // namespace guavafront
