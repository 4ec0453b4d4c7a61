#pragma once

#include "wire/envelope.h"

#include <guavafront/coordination/claims/claims_view.h>
#include <guavafront/coordination/configuration/change_log.h>
#include <guavafront/coordination/replication/membership.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace guavafront
{

/// An operator submitted a change.
struct change_submitted {
    change_author author; ///< Role and account of the operator.
    change_request request; ///< Requested changes.
    std::function<void(const change_answer &)> answer; ///< Called exactly once, on the control task's thread.
};

/// Announces a large change before it is read, whose ID is a digest of its content. What was decided or is being
/// decided already is answered, and so is what another VM must decide, so that only the leader reads it, and once.
struct change_announced {
    change_id id; ///< ID of the change.
    /// Called with the change's answer, like change_submitted::answer. On the control task's thread.
    std::function<void(const change_answer &)> answer;
    std::function<void()> read; ///< Called in place of answer if the change must be read and submitted here.
};

/// An operator submitted a change that another task has encoded, which takes long for a large one.
struct encoded_change_submitted {
    change_id id; ///< ID of the change.
    std::vector<std::byte> proposal; ///< What encodeNewProposal() returned.
    std::function<void(const change_answer &)> answer; ///< Called exactly once, on the control task's thread.
};

/// State of the control cluster as one control VM knows it.
struct control_status {
    bool leader = false; ///< This VM is the leader and a quorum answers it, so it can accept changes.
    vm_id self; ///< Identity of this VM.
    vm_id leaderVm; ///< Known leader; 0 if none is known.
    std::string redirectAddress; ///< Address of the VM to which a caller turns for the leader; empty if none is known.
    membership members; ///< Members of the cluster and whether they vote.
    std::vector<vm_id> waiting; ///< Live control VMs that aren't members.
    std::shared_ptr<const configuration> accepted; ///< Highest accepted configuration known to this VM; never null.
};

/// Asks for the status as this VM knows it. A leader that was replaced may not know it yet; one that was just elected
/// isn't shown as the leader before it holds all that its predecessors accepted.
struct status_requested {
    std::function<void(const control_status &)> answer; ///< Called exactly once, on the control task's thread.
};

/// Asks for the status after a quorum has confirmed, later than the request, that this VM is still the leader. The
/// status has leader = false if this VM doesn't lead or isn't confirmed in time.
struct confirmed_status_requested {
    std::function<void(const control_status &)> answer; ///< Called exactly once, on the control task's thread.
};

/// An operator requested that a member of the control cluster be replaced by a waiting control VM, or removed.
struct replacement_submitted {
    vm_id old; ///< Member to remove.
    vm_id fresh; ///< VM that replaces it; 0 only removes it.

    /// Called exactly once, on the control task's thread, when the first step of the replacement is committed.
    std::function<void(const change_answer &)> answer;
};

/// A control VM sent a message on the Replication channel.
struct replication_from_peer {
    vm_id from; ///< VM that sent the message.
    envelope message; ///< Encoded replication_message.
};

/// The set of live control VMs has changed; the leader admits those that aren't members.
struct live_control_vms_changed {
    std::vector<vm_id> vms; ///< Live control VMs without this one.
    std::vector<std::string> addresses; ///< Addresses at which other VMs reach them, in the same order.
};

/// The set of live VMs that can keep claims has changed; the leader proposes a claims view from it.
struct live_claims_members_changed {
    std::vector<claims_member> live; ///< Live VMs that can keep claims, ordered by id.
};

/// The configuration task has started and asks for the accepted configuration.
struct accepted_configuration_requested {
};

/// The departures task has started and asks who votes.
struct members_requested {
};

/// Every message that the control task handles.
using control_message =
    std::variant<change_submitted, change_announced, encoded_change_submitted, status_requested,
                 confirmed_status_requested, replacement_submitted, replication_from_peer, live_control_vms_changed,
                 live_claims_members_changed, accepted_configuration_requested, members_requested>;

} // namespace guavafront
