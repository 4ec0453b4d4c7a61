#pragma once

#include "wire/envelope.h"

#include <guavafront/coordination/membership/member.h>
#include <guavafront/coordination/spread/spread_table.h>

#include <cstdint>
#include <variant>

namespace guavafront
{

/// Sends to one VM; dropped, and counted, when there is no way to it.
struct send_to_vm {
    vm_id to; ///< Receiver; this VM itself is allowed.
    envelope message; ///< Any channel but Control, Membership and Spread.
};

/// Sends to every seed of the settings.
struct send_to_seeds {
    envelope message; ///< What to send.
};

/// Sends to every VM with a ready link.
struct send_to_linked {
    envelope message; ///< What to send.
};

/// Sends to every other live VM that has one of the roles.
struct send_to_roles {
    std::uint8_t roles = ControlRole; ///< Bits of member_role.
    envelope message; ///< Any channel but Control, Membership and Spread.
};

/// Sends to the nearest control VMs, which pass it on to all entry VMs.
struct send_to_hubs {
    std::size_t count = 2; ///< How many of them; the second one covers the loss of the first.
    envelope message; ///< Any channel but Control, Membership and Spread.
};

/// Passes a message on to every live VM with one of the roles but the one that it came from.
struct pass_on {
    vm_id from; ///< Sender.
    std::uint8_t roles = EntryRole; ///< Bits of member_role.
    envelope message; ///< What it sent.
};

/// The control leader on this VM proved its leadership.
struct issue_beacon {
    term leaderTerm; ///< Its term.
    std::uint64_t counter = 0; ///< Goes up with each beacon of a term.
    revision accepted; ///< Highest accepted revision.
    instant asOf; ///< When it asked the quorum that answered.
};

/// Has the present view, freshness and entries handed to all subscribers again; for a task that has restarted.
struct resend_state {
};

/// What other tasks ask of the peers task.
using peers_message = std::variant<send_to_vm, send_to_seeds, send_to_linked, send_to_roles, spread_publish,
                                   spread_withdraw, issue_beacon, resend_state, send_to_hubs, pass_on>;

} // namespace guavafront
