#pragma once

#include "daemon/peers/link_table.h"

#include <guavafront/coordination/membership/membership.h>
#include <guavafront/coordination/spread/beacon.h>
#include <guavafront/coordination/spread/spread_table.h>

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace guavafront
{

/// Membership of the fleet as this VM sees it.
struct fleet_view {
    std::vector<member_record> live; ///< Alive and suspect VMs, this one included, ordered by id.
    std::vector<member_record> missing; ///< Dead VMs whose address no live VM has, ordered by id.
    double aliveShare = 1; ///< Share of the fleet that this VM reaches; near 0 when it alone is cut off.
    std::uint64_t fingerprint = 0; ///< Fingerprint of live: equal on two VMs exactly if their lists are.
};

/// State and counters of the peers task, for metrics.
struct peers_statistics {
    link_counters links; ///< Counters of links since the start of the task.
    std::size_t connectedPeers = 0; ///< Number of VMs with a ready link.
    std::size_t liveVms = 0; ///< Number of live VMs: those that are alive or suspect.
    std::size_t missingVms = 0; ///< Number of dead VMs whose address no live VM has.
    double aliveShare = 1; ///< Share of the fleet that this VM reaches, 0 to 1.
    std::size_t spreadEntries = 0; ///< Number of entries held in the spread map.
    std::optional<duration> beaconAge; ///< Upper bound of the newest beacon's age; empty without a beacon.
    std::uint64_t unhandledMessages = 0; ///< Messages on channels without a subscriber, and refused publications.
    duration heldUp{}; ///< Time by which the task's timer ran late, if by 0.2 s or more, since the start of the task.
};

/// Callback for the messages of one channel. It runs on the peers task's thread and posts each message to the mailbox
/// of the task that handles the channel.
using channel_subscriber = std::function<void(const peer_identity &from, envelope message)>;

/// Callbacks for changes of the fleet's state. All run on the peers task's thread and post to the mailboxes of the
/// tasks that react to the changes.
struct peers_watchers {
    std::vector<std::function<void(std::shared_ptr<const fleet_view>)>> views; ///< The fleet view changed.
    /// By topic: another VM's entry of the topic changed.
    std::multimap<spread_topic, std::function<void(const spread_entry &)>> entries;
    std::vector<std::function<void(const beacon_state &)>> freshness; ///< Newer beacon, or tighter bound of its age.
    std::vector<std::function<void()>> started; ///< The peers task started without entries: publish this VM's again.
    std::vector<std::function<void(const peers_statistics &)>> statistics; ///< Called once a second.
};

/// Settings and callbacks of the peers task.
struct peers_task_options {
    link_table_options links; ///< Identity and address of this VM, fleet secret and limits.
    std::vector<std::string> seeds; ///< "IP:port" of VMs through which to join; may include this VM's address.
    std::vector<std::string> book; ///< "IP:port" of VMs that this VM saw before it started.
    /// Subscriber of each channel; empty for a channel that nothing on this VM handles.
    std::array<channel_subscriber, static_cast<std::size_t>(channel::Last) + 1> subscribers;
    peers_watchers watchers; ///< Callbacks for changes of the fleet's state.
    membership_options membershipTimes; ///< Times and sizes of the membership protocol.
    spread_options spreadLimits; ///< Times and sizes of the spread map.
};

} // namespace guavafront
