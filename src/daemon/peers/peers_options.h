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

/// The fleet as this VM sees it.
struct fleet_view {
    std::vector<member_record> live; ///< Alive and suspect VMs, this one included, ordered by id.
    std::vector<member_record> missing; ///< Dead VMs whose address no live one has, ordered by id.
    double aliveShare = 1; ///< Share of the fleet that this VM hears; near 0 when it is cut off alone.
    std::uint64_t fingerprint = 0; ///< Equal on two VMs exactly when live is.
};

/// State of the peers task for metrics.
struct peers_statistics {
    link_counters links; ///< Counters of links since the task's start.
    std::size_t connectedPeers = 0; ///< VMs with a ready link.
    std::size_t liveVms = 0; ///< Alive and suspect VMs.
    std::size_t missingVms = 0; ///< Dead VMs whose address no live one has.
    double aliveShare = 1; ///< Share of the fleet that this VM hears.
    std::size_t spreadEntries = 0; ///< Entries held.
    std::optional<duration> beaconAge; ///< Upper bound of the age of the newest beacon.
    std::uint64_t unclaimedMessages = 0; ///< Messages on channels without a subscriber, and refused publications.
};

/// Takes the messages of one channel; posts them into the owning task's mailbox.
using channel_subscriber = std::function<void(const peer_identity &from, envelope message)>;

/// Who hears of the fleet's state. All are called on the peers task's thread and post into their own task's mailbox.
struct peers_watchers {
    std::vector<std::function<void(std::shared_ptr<const fleet_view>)>> views; ///< Changes of the view.
    std::multimap<spread_topic, std::function<void(const spread_entry &)>> entries; ///< Other VMs' entries.
    std::vector<std::function<void(const beacon_state &)>> freshness; ///< A newer beacon, or a better bound of its age.
    std::vector<std::function<void()>> started; ///< The task lost its state: publish own entries again.
    std::vector<std::function<void(const peers_statistics &)>> statistics; ///< Once a second.
};

/// Settings and receivers of the peers task.
struct peers_task_options {
    link_table_options links; ///< Own identity, address, secret and limits.
    std::vector<std::string> seeds; ///< "IP:port" of VMs to join by; the own address may be among them.
    std::array<channel_subscriber, static_cast<std::size_t>(channel::Last) + 1> subscribers; ///< By channel.
    peers_watchers watchers; ///< Who hears of the fleet's state.
    membership_options membershipTimes; ///< Times and sizes.
    spread_options spreadLimits; ///< Times and sizes.
};

} // namespace guavafront
