#pragma once

#include "daemon/configuration/configuration_message.h"
#include "daemon/control/control_message.h"
#include "daemon/hub/hub_task.h"
#include "daemon/metrics/daemon_counters.h"
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

/// Mailboxes between a daemon's tasks; they outlive the tasks' restarts.
struct daemon_wiring {
    static constexpr std::size_t smallCapacity = 256; ///< Messages from few senders.
    static constexpr std::size_t largeCapacity = 65'536; ///< Messages that come with callers' or peers' traffic.

    daemon_counters counters; ///< Collected by the metrics task.
    peers_counters peerCounters{counters.registry()}; ///< Set by the peers task.
    mailbox<metrics_message> metrics{smallCapacity}; ///< To the metrics task.
    mailbox<peers_message> peers{largeCapacity}; ///< To the peers task.
    mailbox<configuration_message> configurations{largeCapacity}; ///< To the configuration task.
    mailbox<control_message> control{smallCapacity}; ///< To the control task.
    mailbox<operators_message> operators{largeCapacity}; ///< To the operators task.
    mailbox<entry_event> entries{largeCapacity}; ///< To the entry task.
    mailbox<loads_received> hub{largeCapacity}; ///< To the hub task.
    mailbox<std::shared_ptr<const configuration>> announcements{smallCapacity}; ///< To the announcements task.
};

} // namespace guavafront
