#include "daemon/fleet/fleet_watch.h"

#include "daemon/fleet/shared_state.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <glog/logging.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace guavafront
{

namespace
{

/// A VM that reaches a smaller share of the fleet counts as isolated from it.
constexpr double majorityShare = 0.5;

/// Returns the live VMs that have any of the roles, except this VM, ordered by id.
std::vector<vm_id> otherVmsWithRoles(const fleet_view &view, std::uint8_t roles, vm_id self)
{
    std::vector<vm_id> found;
    for (const member_record &each : view.live) {
        if ((each.roles & roles) != 0 && each.id != self) {
            found.push_back(each.id);
        }
    }
    return found;
}

/// Returns what the choice of upstream instances depends on. It counts entry VMs only, since only these send requests
/// to upstream instances.
fleet_summary summaryOf(const fleet_view &view, const std::string &dataCentre)
{
    fleet_summary summary{.vmsInDataCentre = 0,
                          .vms = 0,
                          .missingVms = static_cast<std::uint32_t>(view.missing.size()),
                          .seesMajority = view.aliveShare >= majorityShare};
    for (const member_record &each : view.live) {
        if ((each.roles & EntryRole) != 0) {
            ++summary.vms;
            summary.vmsInDataCentre += each.dataCentre == dataCentre ? 1 : 0;
        }
    }
    return summary;
}

std::vector<entry_vm> entryVmsOf(std::span<const member_record> members)
{
    std::vector<entry_vm> entries;
    for (const member_record &each : members) {
        if ((each.roles & EntryRole) != 0) {
            entries.push_back({each.id, each.dataCentre});
        }
    }
    return entries;
}

/// Returns the other VMs that control VMs pass news on to, ordered by id.
std::vector<fleet_vm> otherFleetVms(const fleet_view &view, vm_id self)
{
    std::vector<fleet_vm> seen;
    for (const member_record &each : view.live) {
        if ((each.roles & (EntryRole | ControlRole)) != 0 && each.id != self) {
            seen.push_back(
                {.id = each.id, .dataCentre = each.dataCentre, .isControl = (each.roles & ControlRole) != 0});
        }
    }
    std::ranges::sort(seen, {}, &fleet_vm::id);
    return seen;
}

/// Returns the addresses of the other VMs, control VMs first and otherwise in the order of their texts, which stays the
/// same when a VM starts again.
std::vector<std::string> otherAddresses(const fleet_view &view, vm_id self)
{
    std::vector<std::pair<bool, std::string>> ranked;
    for (const member_record &each : view.live) {
        if (each.id != self) {
            ranked.emplace_back((each.roles & ControlRole) == 0, each.address);
        }
    }
    std::ranges::sort(ranked);
    std::vector<std::string> addresses;
    addresses.reserve(ranked.size());
    for (auto &[isOther, address] : ranked) {
        addresses.push_back(std::move(address));
    }
    return addresses;
}

/// Exports the messages that full mailboxes have dropped. Most senders can't do anything about one that is lost.
void countDroppedMessages(daemon_wiring &wiring)
{
    wiring.mailboxCounters.set("peers", wiring.peers.rejected());
    wiring.mailboxCounters.set("urgent_peers", wiring.urgentPeers.rejected());
    wiring.mailboxCounters.set("configuration", wiring.configurations.rejected());
    wiring.mailboxCounters.set("control", wiring.control.rejected());
    wiring.mailboxCounters.set("operators", wiring.operators.rejected());
    wiring.mailboxCounters.set("entries", wiring.entries.rejected());
    wiring.mailboxCounters.set("departures", wiring.departures.rejected());
    wiring.mailboxCounters.set("addresses", wiring.addresses.rejected());
    wiring.mailboxCounters.set("hub", wiring.hub.rejected());
    wiring.mailboxCounters.set("announcements", wiring.announcements.rejected());
}

/// Returns the entry VMs whose confirmation of a configuration a control VM waits for.
entry_vm_view entryVmViewOf(const fleet_view &view)
{
    return {.live = entryVmsOf(view.live),
            .declaredDead = entryVmsOf(view.missing),
            .seesMajority = view.aliveShare >= majorityShare};
}

} // namespace

fleet_watch::fleet_watch(const peer_identity &self, daemon_wiring &wiring)
    : m_self(self)
    , m_wiring(wiring)
{
}

void fleet_watch::handle(const fleet_view &view)
{
    live_vms_changed others{.vms = otherVmsWithRoles(view, EntryRole | ControlRole, m_self.id), .entries = {}};
    if ((m_self.roles & ControlRole) != 0) {
        live_control_vms_changed seen{.vms = otherVmsWithRoles(view, ControlRole, m_self.id), .addresses = {}};
        for (const vm_id vm : seen.vms) {
            seen.addresses.push_back(std::ranges::find(view.live, vm, &member_record::id)->address);
        }
        m_wiring.control.post(std::move(seen));
        m_wiring.addresses.post({otherAddresses(view, m_self.id)});
        std::vector<fleet_vm> vms = otherFleetVms(view, m_self.id);
        m_wiring.hub.post(hub_fleet_changed{vms});
        m_wiring.departures.post(departure_vms_changed{std::move(vms)});
        others.entries = entryVmViewOf(view);
    }
    m_wiring.configurations.post(std::move(others));
    postRegistrarChanges(otherVmsWithRoles(view, EntryRole | ControlRole, m_self.id));
    std::vector<vm_id> entries = otherVmsWithRoles(view, EntryRole, m_self.id);
    m_entryVms = entries;
    entries.insert(std::ranges::upper_bound(entries, m_self.id), m_self.id);
    postToEntryTask(limit_members_changed{std::move(entries)});
    postToEntryTask(ledger_owners_changed{otherVmsWithRoles(view, ControlRole, m_self.id)});
    postToEntryTask(fleet_changed{summaryOf(view, m_self.dataCentre), entryVmViewOf(view)});
    postClaimsMembers();
}

void fleet_watch::handle(const spread_entry &entry)
{
    try {
        recordClaimsMember(entry);
        if (auto event = eventOf(entry)) {
            postToOperators(*event);
            postToEntryTask(std::move(*event));
        }
    } catch (const coordination_error &error) {
        m_wiring.counters.countDroppedPeerMessage(error.code());
    }
}

void fleet_watch::handle(const beacon_state &beacon)
{
    if (beacon.newest) {
        m_wiring.configurations.post(accepted_revision_reported{beacon.newest->accepted});
        m_freshness.confirmedAt = beacon.issuedAfter;
        m_freshness.accepted = beacon.newest->accepted;
        m_freshness.leaderTerm = beacon.newest->leaderTerm;
        m_freshness.beaconCounter = beacon.newest->counter;
        postFreshness();
    }
}

void fleet_watch::postRegistrarChanges(std::vector<vm_id> registrars)
{
    std::vector<vm_id> lost;
    std::ranges::set_difference(m_registrars, registrars, std::back_inserter(lost));
    std::vector<vm_id> found;
    std::ranges::set_difference(registrars, m_registrars, std::back_inserter(found));
    m_registrars = std::move(registrars);
    for (const vm_id vm : lost) {
        postToEntryTask(vm_reachability_changed{vm, false});
        postToEntryTask(health_report_lost{vm});
    }
    for (const vm_id vm : found) {
        postToEntryTask(vm_reachability_changed{vm, true});
    }
}

void fleet_watch::postFreshness()
{
    postToEntryTask(m_freshness);
}

void fleet_watch::postToOperators(const entry_event &event)
{
    if ((m_self.roles & ControlRole) == 0) {
        return;
    }
    if (const auto *death = std::get_if<death_reported>(&event)) {
        m_wiring.operators.post(*death);
    } else if (const auto *released = std::get_if<release_reported>(&event)) {
        m_wiring.operators.post(*released);
    }
}

void fleet_watch::postToEntryTask(entry_event event)
{
    // On an entry VM this is the mailbox of the entry task, on other VMs that of the registry task, which needs only
    // the events about instances.
    m_wiring.entries.post(std::move(event));
}

void fleet_watch::recordClaimsMember(const spread_entry &entry)
{
    if (const std::optional<claims_member> member = claimsMemberOf(entry)) {
        m_claimsMembers[member->id] = *member;
        postClaimsMembers();
    }
}

void fleet_watch::postClaimsMembers()
{
    std::erase_if(m_claimsMembers,
                  [this](const auto &each) { return !std::ranges::binary_search(m_entryVms, each.first); });
    if ((m_self.roles & ControlRole) == 0) {
        return;
    }
    live_claims_members_changed seen;
    for (const auto &[id, member] : m_claimsMembers) {
        seen.live.push_back(member);
    }
    m_wiring.control.post(std::move(seen));
}

peers_watchers makePeersWatchers(const std::shared_ptr<fleet_watch> &watch, daemon_wiring &wiring)
{
    peers_watchers watchers;
    watchers.views = {[watch](const std::shared_ptr<const fleet_view> &view) {
        watch->handle(*view);
    }};
    for (const spread_topic topic :
         {spread_topic::Instances, spread_topic::Health, spread_topic::Quarantine, spread_topic::Claims}) {
        watchers.entries.emplace(topic, [watch](const spread_entry &entry) { watch->handle(entry); });
    }
    watchers.freshness = {[watch](const beacon_state &beacon) {
        watch->handle(beacon);
    }};
    watchers.started = {[&wiring] {
        wiring.entries.post(publications_lost{});
    }};
    watchers.statistics = {[&wiring](const peers_statistics &latest) {
        wiring.peerCounters.set(latest);
        countDroppedMessages(wiring);
    }};
    return watchers;
}

} // namespace guavafront
