#pragma once

#include "daemon/addresses/address_book_message.h"
#include "daemon/configuration/configuration_message.h"
#include "daemon/control/control_message.h"
#include "daemon/departures/departures_message.h"
#include "daemon/hub/hub_message.h"
#include "daemon/metrics/daemon_counters.h"
#include "daemon/metrics/mailbox_counters.h"
#include "daemon/metrics/metrics_message.h"
#include "daemon/operators/operators_message.h"
#include "daemon/peers/peers_counters.h"
#include "daemon/peers/peers_message.h"
#include "runtime/mailbox.h"

#include <guavafront/coordination/entry/entry_event.h>

#include <cstddef>
#include <memory>

namespace guavafront
{

/// Mailboxes and counters that a daemon's tasks share. They outlive the tasks, so that a restarted task continues with
/// the messages that its predecessor left.
struct daemon_wiring {
    static constexpr std::size_t smallCapacity = 256; ///< Messages; for mailboxes with few senders.
    static constexpr std::size_t largeCapacity = 65'536; ///< Messages; for mailboxes filled by callers or VMs.

    daemon_counters counters; ///< Exported by the metrics task.
    peers_counters peerCounters{counters.registry()}; ///< Updated by the peers task.
    mailbox_counters mailboxCounters{counters.registry()}; ///< Updated by the peers task.
    mailbox<metrics_message> metrics{smallCapacity}; ///< Inbox of the metrics task.
    mailbox<peers_message> peers{largeCapacity}; ///< Inbox of the peers task.
    mailbox<peers_message> urgentPeers{largeCapacity}; ///< Inbox of the peers task that goes before the one above.
    mailbox<configuration_message> configurations{largeCapacity}; ///< Inbox of the configuration task.
    mailbox<control_message> control{largeCapacity}; ///< Inbox of the control task.
    mailbox<operators_message> operators{largeCapacity}; ///< Inbox of the operators task.
    mailbox<entry_event> entries{largeCapacity}; ///< Inbox of the entry task or, without it, the registry task.
    mailbox<departures_inbox_message> departures{largeCapacity}; ///< Inbox of the departures task.
    mailbox<live_addresses_changed> addresses{smallCapacity}; ///< Inbox of the address book task.
    mailbox<hub_message> hub{largeCapacity}; ///< Inbox of the hub task.
    mailbox<std::shared_ptr<const configuration>> announcements{smallCapacity}; ///< Inbox of the announcements task.
};

} // namespace guavafront
