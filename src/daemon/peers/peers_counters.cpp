#include "daemon/peers/peers_counters.h"

namespace guavafront
{

namespace
{

prometheus::Gauge &addGauge(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

prometheus::Counter &addCounter(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
}

/// Increments a counter by the difference between the latest and the last count. A latest count below the last one
/// comes from a restarted task, which counts from zero; it is added whole.
void advanceCounter(prometheus::Counter &counter, std::uint64_t latest, std::uint64_t last)
{
    counter.Increment(static_cast<double>(latest >= last ? latest - last : latest));
}

} // namespace

peers_counters::peers_counters(prometheus::Registry &registry)
    : m_liveVms(addGauge(registry, "guavafront_fleet_live_vms", "VMs that this VM holds live, itself included."))
    , m_missingVms(addGauge(registry, "guavafront_fleet_missing_vms", "Dead VMs whose address no live one has."))
    , m_aliveShare(addGauge(registry, "guavafront_fleet_alive_share", "Share of the fleet that this VM hears, 0 to 1."))
    , m_linkedPeers(addGauge(registry, "guavafront_linked_vms", "VMs with a ready link."))
    , m_spreadEntries(addGauge(registry, "guavafront_spread_entries", "Entries of all VMs' small state held."))
    , m_beaconAge(addGauge(registry, "guavafront_beacon_age_seconds",
                           "Upper bound of the age of the control leader's newest beacon; -1 when none was heard."))
    , m_messagesSent(addCounter(registry, "guavafront_peer_messages_sent_total", "Messages to other VMs."))
    , m_bytesSent(addCounter(registry, "guavafront_peer_sent_bytes_total", "Bodies of messages to other VMs."))
    , m_messagesReceived(addCounter(registry, "guavafront_peer_messages_received_total", "Messages from other VMs."))
    , m_bytesReceived(
          addCounter(registry, "guavafront_peer_received_bytes_total", "Bodies of messages from other VMs."))
    , m_messagesDropped(
          addCounter(registry, "guavafront_peer_messages_dropped_total", "Messages with no way to their VM."))
    , m_messagesResent(addCounter(registry, "guavafront_peer_messages_resent_total",
                                  "Messages sent again because they hadn't arrived when their link ended."))
    , m_linkRecoveries(addCounter(registry, "guavafront_link_recoveries_total",
                                  "Links that went silent, or ended with messages that hadn't arrived."))
    , m_unhandledMessages(addCounter(registry, "guavafront_peer_messages_unclaimed_total",
                                     "Messages that no task of this VM takes, and refused publications."))
    , m_heldUp(addCounter(registry, "guavafront_peers_held_up_seconds_total",
                          "Time by which the task that owns the links to other VMs ran late."))
{
    prometheus::Family<prometheus::Counter> &ended = prometheus::BuildCounter()
                                                         .Name("guavafront_links_ended_total")
                                                         .Help("Ended links to other VMs by reason.")
                                                         .Register(registry);
    for (std::size_t i = 0; i < m_ended.size(); ++i) {
        m_ended[i] = &ended.Add({{"reason", std::string(linkEndName(static_cast<link_end>(i)))}});
    }
}

void peers_counters::set(const peers_statistics &latest)
{
    m_liveVms.Set(static_cast<double>(latest.liveVms));
    m_missingVms.Set(static_cast<double>(latest.missingVms));
    m_aliveShare.Set(latest.aliveShare);
    m_linkedPeers.Set(static_cast<double>(latest.connectedPeers));
    m_spreadEntries.Set(static_cast<double>(latest.spreadEntries));
    m_beaconAge.Set(latest.beaconAge ? std::chrono::duration<double>(*latest.beaconAge).count() : -1);
    advanceCounter(m_messagesSent, latest.links.messagesSent, m_lastSet.links.messagesSent);
    advanceCounter(m_bytesSent, latest.links.bytesSent, m_lastSet.links.bytesSent);
    advanceCounter(m_messagesReceived, latest.links.messagesReceived, m_lastSet.links.messagesReceived);
    advanceCounter(m_bytesReceived, latest.links.bytesReceived, m_lastSet.links.bytesReceived);
    advanceCounter(m_messagesDropped, latest.links.messagesDropped, m_lastSet.links.messagesDropped);
    advanceCounter(m_messagesResent, latest.links.messagesResent, m_lastSet.links.messagesResent);
    advanceCounter(m_linkRecoveries, latest.links.recoveries, m_lastSet.links.recoveries);
    advanceCounter(m_unhandledMessages, latest.unhandledMessages, m_lastSet.unhandledMessages);
    const duration heldUp = latest.heldUp - m_lastSet.heldUp;
    m_heldUp.Increment(std::chrono::duration<double>(heldUp < duration{} ? latest.heldUp : heldUp).count());
    for (std::size_t i = 0; i < m_ended.size(); ++i) {
        advanceCounter(*m_ended[i], latest.links.ended[i], m_lastSet.links.ended[i]);
    }
    m_lastSet = latest;
}

} // namespace guavafront
