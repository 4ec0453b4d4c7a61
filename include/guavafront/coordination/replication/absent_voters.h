#pragma once

#include <guavafront/coordination/replication/replica.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace guavafront
{

/// What a control VM knows of the others beside the replicated log.
struct control_vms_view {
    std::span<const vm_id> live; ///< Control VMs besides this one that the membership holds alive.
    const std::unordered_map<vm_id, std::string> &addresses; ///< Of control VMs seen so far.
};

/// The member whose place a waiting VM takes: the one that stood at its address and isn't live. Its disk is lost, since
/// the VM has a new identity there. Nothing where there is none.
vm_id memberToReplace(const replica &self, const control_vms_view &view, vm_id joining);

/// A voter that is gone for good, silent for replica_options::absentVoterLimit: the leader removes it, so that the
/// others need no quorum with it. Nothing at other VMs, and while a change of members is under way.
std::optional<vm_id> voterToRemove(const replica &self, const control_vms_view &view, instant now);

} // namespace guavafront
