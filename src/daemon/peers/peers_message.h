#pragma once

#include "wire/envelope.h"

#include <guavafront/coordination/membership/member.h>
#include <guavafront/coordination/spread/spread_table.h>

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace guavafront
{

/// Sends a message to one VM. It is dropped and counted when no link to the VM comes about.
struct send_to_vm {
    vm_id to; ///< VM that gets the message; may be this VM itself.
    envelope message; ///< Any channel but Control, Membership and Spread.
};

/// Sends a message to several VMs, as send_to_vm does to one.
struct send_to_vms {
    std::vector<vm_id> to; ///< VMs that get the message.
    envelope message; ///< Any channel but Control, Membership and Spread.
};

/// Sends a message to every seed of the settings.
struct send_to_seeds {
    envelope message; ///< Message to send.
};

/// Sends a message to every VM with a ready link.
struct send_to_linked {
    envelope message; ///< Message to send.
};

/// Sends a message to every other live VM that has at least one of the roles.
struct send_to_roles {
    std::uint8_t roles = ControlRole; ///< Roles as bits of member_role.
    envelope message; ///< Any channel but Control, Membership and Spread.
};

/// Sends a message to the nearest control VMs, which act as hubs. This VM's own data centre comes first. Without live
/// hubs, the message goes to every VM with a ready link.
struct send_to_hubs {
    std::size_t count = 2; ///< Number of hubs; the second one covers the loss of the first.
    envelope message; ///< Any channel but Control, Membership and Spread.
    std::optional<envelope> secondMessage; ///< For the hubs after the first; without it they get the same message.
};

/// Issues a beacon: the control leader runs on this VM and a quorum has confirmed its leadership.
struct issue_beacon {
    term leaderTerm; ///< Term of the leader.
    std::uint64_t counter = 0; ///< Number of the beacon within the term; each beacon has a higher one.
    revision accepted; ///< Highest accepted revision of the configuration.
    instant asOf; ///< Time at which the leader asked the quorum that confirmed it.
};

/// Passes the present fleet view, freshness and spread entries to all watchers again. Sent by a task that has restarted
/// and lost its state.
struct resend_state {
};

/// Requests of other tasks to the peers task.
using peers_message = std::variant<send_to_vm, send_to_seeds, send_to_linked, send_to_roles, spread_publish,
                                   spread_withdraw, issue_beacon, resend_state, send_to_hubs, send_to_vms>;

} // namespace guavafront
