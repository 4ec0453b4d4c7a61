#pragma once

#include "wire/envelope.h"

#include <guavafront/coordination/configuration/configuration_follower.h>
#include <guavafront/coordination/configuration/confirmations.h>

#include <functional>
#include <memory>
#include <variant>
#include <vector>

namespace guavafront
{

/// Another VM sent a message on the Configuration channel.
struct configuration_from_peer {
    vm_id from; ///< Sender.
    envelope message; ///< What it sent.
};

/// The control on this VM has applied an accepted revision.
struct configuration_accepted {
    std::shared_ptr<const configuration> value; ///< Never null.
    history_digest digest{}; ///< Of its history.
    std::vector<configuration_delta> deltas; ///< What led here; empty at the start and after a snapshot.
};

/// A task of this VM has started and holds no configuration: all subscribers are told of the one in force again.
struct configuration_requested {
};

/// The leader's beacon names an accepted revision.
struct accepted_revision_reported {
    revision accepted; ///< Accepted, perhaps not here yet.
};

/// VMs that are live now, besides this one.
struct live_vms_changed {
    std::vector<vm_id> vms; ///< Their identities.
    entry_vm_view entries; ///< Entry VMs, this one included; empty on VMs that aren't control VMs.
};

/// The entry task has put a revision in force for all requests that follow.
struct configuration_applied {
    revision inForce; ///< Which one.
};

/// Question how far an accepted revision has come; answer is called on the configuration task's thread.
struct confirmation_requested {
    revision wanted; ///< Accepted.
    std::function<void(const confirmation_status &)> answer; ///< Called exactly once.
};

/// What the configuration task reacts to.
using configuration_message =
    std::variant<configuration_from_peer, configuration_accepted, configuration_requested, accepted_revision_reported,
                 live_vms_changed, configuration_applied, confirmation_requested>;

} // namespace guavafront
