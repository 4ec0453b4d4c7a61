#pragma once

#include "daemon/peers/peers_options.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <array>

namespace guavafront
{

/// Exports the peers task's statistics on /metrics. The peers task sets them, the metrics task collects them.
class peers_counters
{
public:
    /// Registers all metric families. The registry must outlive the counters.
    explicit peers_counters(prometheus::Registry &registry);

    /// Exports the newest statistics. Counts of a restarted peers task start at zero again; the exported counters
    /// continue from their present values.
    void set(const peers_statistics &latest);

private:
    prometheus::Gauge &m_liveVms; ///< Number of live VMs: those that are alive or suspect.
    prometheus::Gauge &m_missingVms; ///< Number of dead VMs whose address no live VM has.
    prometheus::Gauge &m_aliveShare; ///< Share of the fleet that this VM reaches, 0 to 1.
    prometheus::Gauge &m_linkedPeers; ///< Number of VMs with a ready link.
    prometheus::Gauge &m_spreadEntries; ///< Number of entries held in the spread map.
    prometheus::Gauge &m_beaconAge; ///< Upper bound of the newest beacon's age in seconds; -1 without a beacon.
    prometheus::Counter &m_messagesSent; ///< Messages sent to other VMs.
    prometheus::Counter &m_bytesSent; ///< Size of the sent messages' bodies in bytes.
    prometheus::Counter &m_messagesReceived; ///< Messages received from other VMs.
    prometheus::Counter &m_bytesReceived; ///< Size of the received messages' bodies in bytes.
    prometheus::Counter &m_messagesDropped; ///< Messages dropped because no link to the VM came about.
    prometheus::Counter &m_messagesResent; ///< Messages sent again over another link than the one they were lost on.
    prometheus::Counter &m_linkRecoveries; ///< Links that went silent, or ended with messages that hadn't arrived.
    prometheus::Counter &m_unhandledMessages; ///< Messages without a subscriber, and refused publications.
    prometheus::Counter &m_heldUp; ///< Time in seconds by which the peers task ran late.
    std::array<prometheus::Counter *, static_cast<std::size_t>(link_end::Count)> m_ended{}; ///< Ended links, by reason.
    peers_statistics m_lastSet; ///< Statistics already added to the counters.
};

} // namespace guavafront
