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

/// An operator's change; answer is called on the control task's thread and posts the answer back.
struct change_submitted {
    change_author author; ///< Who asks.
    change_request request; ///< What is asked.
    std::function<void(const change_answer &)> answer; ///< Called exactly once.
};

/// What operators see of the control.
struct control_status {
    bool leader = false; ///< This VM leads with a quorum that answers, so that it may accept changes.
    vm_id self; ///< This VM's identity.
    vm_id leaderVm; ///< Leader as far as known; 0 for none.
    std::string leaderAddress; ///< Of its links; empty when it isn't known.
    membership members; ///< Control VMs, with their roles.
    std::vector<vm_id> waiting; ///< Control VMs that are there but not members.
    std::shared_ptr<const configuration> accepted; ///< Highest accepted revision that this VM knows.
};

/// Question for the status; answer is called on the control task's thread and posts the answer back.
struct status_requested {
    std::function<void(const control_status &)> answer; ///< Called exactly once.
};

/// Question that only a leader may answer whose quorum has confirmed it since; leader is false otherwise.
struct confirmed_status_requested {
    std::function<void(const control_status &)> answer; ///< Called exactly once.
};

/// An operator wants a control VM replaced by one that waits, or just removed.
struct replacement_submitted {
    vm_id old; ///< Member that goes.
    vm_id fresh; ///< VM that takes its place; 0 removes only.
    std::function<void(const change_answer &)> answer; ///< Called exactly once, when the first step is committed.
};

/// A control VM sent a message on the Replication channel.
struct replication_from_peer {
    vm_id from; ///< Sender.
    envelope message; ///< What it sent.
};

/// Control VMs that are live now, besides this one; the leader takes in those that aren't members.
struct live_control_vms_changed {
    std::vector<vm_id> vms; ///< Their identities.
    std::vector<std::string> addresses; ///< Of their links, in the same order.
};

/// Live VMs that can keep claims; the leader agrees on a view of them.
struct live_claims_members_changed {
    std::vector<claims_member> live; ///< Ordered by id.
};

/// The configuration task has started and wants the accepted configuration again.
struct accepted_configuration_requested {
};

/// What the control task reacts to.
using control_message = std::variant<change_submitted, status_requested, confirmed_status_requested,
                                     replacement_submitted, replication_from_peer, live_control_vms_changed,
                                     live_claims_members_changed, accepted_configuration_requested>;

} // namespace guavafront
