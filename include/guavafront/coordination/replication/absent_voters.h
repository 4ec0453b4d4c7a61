#pragma once

#include <guavafront/coordination/replication/replica.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace guavafront
{

/// What a control VM knows of the other control VMs from sources other than the replicated log.
struct control_vms_view {
    std::span<const vm_id> live; ///< Other control VMs that the failure detector of the fleet considers alive.
    const std::unordered_map<vm_id, std::string> &addresses; ///< Address of each control VM that was ever seen, by its
                                                             ///< identity.
};

/// Returns the member that a joining VM replaces: the one that was last seen at the same address and isn't live. That
/// member's disk is lost, since the VM at its address has a new identity. Returns 0 when there is no such member.
vm_id memberToReplace(const replica &self, const control_vms_view &view, vm_id joining);

/// A control VM that joins the replicated log as a learner.
struct admission {
    vm_id id; ///< Identity of the VM.
    vm_id replaces; ///< Member that is removed once the VM votes; 0 for none.
    bool operator==(const admission &) const = default; ///< Memberwise equality.
};

/// Returns the live control VMs that aren't members of the log, without this one.
std::vector<vm_id> waitingVms(const replica &self, const control_vms_view &view);

/// Returns the admission that the leader should propose. A waiting VM takes the place of the member at its address
/// (memberToReplace), or else joins while there are fewer members than replica_options::targetVoters; in a full cluster
/// it takes the place of a member that isn't live and has been silent for replica_options::lostMemberLimit. Returns
/// none on VMs that don't lead or have no quorum at this time, and while the latest change of membership or a record of
/// the leader's own term isn't committed.
std::optional<admission> vmToAdmit(const replica &self, const control_vms_view &view, instant now);

/// Returns a member that the leader should remove because it is presumed lost: it isn't live and has been silent for
/// replica_options::lostMemberLimit. Learners are removed at once. A voter is removed if the remaining voters can then
/// bear the loss of one more than before, which holds for an even number of voters or several lost ones; otherwise only
/// after replica_options::absentVoterLimit. A member that is merely cut off joins again as a learner. Returns none on
/// VMs that don't lead, and while the latest change of membership isn't committed.
std::optional<vm_id> memberToRemove(const replica &self, const control_vms_view &view, instant now);

/// Returns the VM to which a caller that needs the leader should turn: the known leader; on a VM that isn't a member
/// and so isn't told of elections, a live control VM; on a member that knows no leader, one that refused it a vote and
/// may know one. Of several it is another one with each turn. Returns 0 if there is none.
vm_id vmTowardsLeader(const replica &self, const control_vms_view &view, std::uint64_t turn);

} // namespace guavafront
