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
    vm_id from; ///< VM that sent the message.
    envelope message; ///< Encoded follower_message.
};

/// The control task of this VM has applied an accepted revision.
struct configuration_accepted {
    std::shared_ptr<const configuration> value; ///< Accepted configuration; never null.
    history_digest digest{}; ///< History digest of the revision.
    std::vector<configuration_delta> deltas; ///< Revisions since the last message; empty if only the whole is known.
};

/// A task of this VM has started and holds no configuration, so the subscriber is called again with the one in force.
struct configuration_requested {
};

/// A beacon of the leader named an accepted revision.
struct accepted_revision_reported {
    revision accepted; ///< Accepted revision, which this VM may not hold yet.
};

/// The set of live VMs has changed.
struct live_vms_changed {
    std::vector<vm_id> vms; ///< Live VMs without this one.
    entry_vm_view entries; ///< Entry VMs including this one; empty unless this is a control VM.
};

/// The entry task has put a revision in force for all later requests.
struct configuration_applied {
    revision inForce; ///< Revision that was put in force.
};

/// Asks on which entry VMs an accepted revision is in force.
struct confirmation_requested {
    revision wanted; ///< Accepted revision.
    std::function<void(const confirmation_status &)> answer; ///< Called once, on the configuration task's thread.
};

/// Every message that the configuration task handles.
using configuration_message =
    std::variant<configuration_from_peer, configuration_accepted, configuration_requested, accepted_revision_reported,
                 live_vms_changed, configuration_applied, confirmation_requested>;

} // namespace guavafront
