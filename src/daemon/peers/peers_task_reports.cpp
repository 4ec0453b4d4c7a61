// What the peers task tells the other tasks of this VM, and its log.
#include "daemon/peers/peers_task.h"

#include <glog/logging.h>

#include <cmath>
#include <utility>

namespace guavafront
{

namespace
{

using std::chrono::milliseconds;

/// The task is said to have stood still when its tick is this late.
constexpr duration noticedDelay = milliseconds(200);
/// Change of the alive share from which the fleet view is published again.
constexpr double minShareChange = 0.05;

} // namespace

/// Logs and counts for how long this task handled other events than its timer.
void peers_task::noteStandstill(duration period)
{
    const instant now = loop::now();
    const duration late = m_tickDue == instant{} ? duration{} : now - m_tickDue;
    m_tickDue = now + period;
    if (late < noticedDelay) {
        return;
    }
    m_heldUp += late;
    m_wasLate = true;
    LOG(WARNING) << "peers: this task ran " << late / milliseconds(1) << " ms late";
}

/// Logs what this task did since the last call, if it ran late meanwhile.
void peers_task::logWork()
{
    const link_counters &links = m_links.counters();
    const link_counters before = std::exchange(m_loggedLinks, links);
    const std::string work = m_work.take();
    if (std::exchange(m_wasLate, false)) {
        LOG(INFO) << "peers: the last work was " << work << "; " << links.messagesReceived - before.messagesReceived
                  << " messages received, " << links.messagesSent - before.messagesSent << " sent, "
                  << links.messagesDropped - before.messagesDropped << " dropped, "
                  << links.messagesResent - before.messagesResent << " sent again after the end of their link in "
                  << (links.resuming - before.resuming) / milliseconds(1) << " ms, " << links.ready - before.ready
                  << " links ready";
    }
}

void peers_task::publishView(bool always)
{
    const double share = aliveShare(m_membership, loop::now());
    const bool changed = std::exchange(m_viewChanged, false) || std::abs(share - m_publishedShare) >= minShareChange;
    if (!changed && !always) {
        return;
    }
    m_publishedShare = share;
    auto view = std::make_shared<fleet_view>();
    view->live = liveMembers(m_membership);
    view->missing = missingMembers(m_membership);
    view->aliveShare = share;
    view->fingerprint = viewFingerprint(m_membership);
    for (const auto &watcher : m_options.watchers.views) {
        watcher(view);
    }
}

void peers_task::publishFreshness()
{
    if (m_beacon.newest == m_publishedBeacon.newest && m_beacon.issuedAfter == m_publishedBeacon.issuedAfter) {
        return;
    }
    m_publishedBeacon = m_beacon;
    for (const auto &watcher : m_options.watchers.freshness) {
        watcher(m_beacon);
    }
}

void peers_task::publishStatistics()
{
    const instant now = loop::now();
    const peers_statistics statistics{.links = m_links.counters(),
                                      .connectedPeers = m_links.connectedPeers().size(),
                                      .liveVms = m_membership.aliveCount,
                                      .missingVms = m_membership.missingCount,
                                      .aliveShare = aliveShare(m_membership, now),
                                      .spreadEntries = m_spread.entries.size(),
                                      .beaconAge = beaconAge(m_beacon, now),
                                      .unhandledMessages = m_unhandledMessages,
                                      .heldUp = m_heldUp};
    for (const auto &watcher : m_options.watchers.statistics) {
        watcher(statistics);
    }
}

void peers_task::publishEntry(const spread_entry &entry)
{
    const auto [first, last] = m_options.watchers.entries.equal_range(entry.key.topic);
    for (auto watcher = first; watcher != last; ++watcher) {
        watcher->second(entry);
    }
}

} // namespace guavafront
