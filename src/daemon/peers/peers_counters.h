#pragma once

#include "daemon/peers/peers_options.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <array>

namespace guavafront
{

/// Shows the peers task's statistics on /metrics. Set by the peers task, collected by the metrics task.
class peers_counters
{
public:
    /// Registers all families; the registry outlives the counters.
    explicit peers_counters(prometheus::Registry &registry);

    /// Takes the newest statistics; a restarted task's counts go on from zero.
    void set(const peers_statistics &latest);

private:
    prometheus::Gauge &m_liveVms; ///< Alive and suspect VMs.
    prometheus::Gauge &m_missingVms; ///< Dead VMs whose address no live one has.
    prometheus::Gauge &m_aliveShare; ///< Share of the fleet that this VM hears.
    prometheus::Gauge &m_linkedPeers; ///< VMs with a ready link.
    prometheus::Gauge &m_spreadEntries; ///< Entries held.
    prometheus::Gauge &m_beaconAge; ///< Seconds; -1 when none was heard.
    prometheus::Counter &m_messagesSent; ///< To other VMs.
    prometheus::Counter &m_bytesSent; ///< Their bodies.
    prometheus::Counter &m_messagesReceived; ///< From other VMs.
    prometheus::Counter &m_bytesReceived; ///< Their bodies.
    prometheus::Counter &m_messagesDropped; ///< No way to the VM.
    prometheus::Counter &m_unhandledMessages; ///< No receiver on this VM, or refused.
    std::array<prometheus::Counter *, static_cast<std::size_t>(link_end::Count)> m_ended{}; ///< Links, by reason.
    peers_statistics m_lastSet; ///< As counted already.
};

} // namespace guavafront
