#include <guavafront/coordination/replication/voter_care.h>

#include <algorithm>

namespace guavafront
{

namespace
{

bool isLive(const control_vms_view &seen, vm_id vm)
{
    return std::ranges::find(seen.live, vm) != seen.live.end();
}

std::string_view addressOf(const control_vms_view &seen, vm_id vm)
{
    const auto found = seen.addresses.find(vm);
    return found == seen.addresses.end() ? std::string_view() : found->second;
}

} // namespace

vm_id predecessorOf(const replica &self, const control_vms_view &seen, vm_id fresh)
{
    const std::string_view address = addressOf(seen, fresh);
    if (address.empty()) {
        return {};
    }
    const auto found = std::ranges::find_if(self.members.members, [&](const member &each) {
        const bool live = each.id == self.options.self || isLive(seen, each.id);
        return !live && addressOf(seen, each.id) == address;
    });
    return found == self.members.members.end() ? vm_id{} : found->id;
}

std::optional<vm_id> goneVoter(const replica &self, const control_vms_view &seen, instant now)
{
    if (self.role != replica_role::Leader || self.membersIndex > self.commitIndex) {
        return std::nullopt;
    }
    const auto found = std::ranges::find_if(self.peers, [&](const peer_progress &peer) {
        const bool silent = now - peer.heard >= self.options.absentVoterLimit;
        return silent && !isLive(seen, peer.id) && isVoter(self.members, peer.id);
    });
    return found == self.peers.end() ? std::nullopt : std::optional(found->id);
}

} // namespace guavafront
