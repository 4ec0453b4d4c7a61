#pragma once

#include "daemon/daemon_wiring.h"
#include "daemon/peers/peers_options.h"
#include "wire/handshake.h"

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/entry/entry_event.h>

#include <map>
#include <memory>
#include <vector>

namespace guavafront
{

/// Passes on what the peers task learns of the fleet: each piece of news becomes messages to the tasks that react to
/// it. Lives on the peers task's thread.
class fleet_watch
{
public:
    /// News goes to the mailboxes of wiring, which outlives the watch.
    fleet_watch(const peer_identity &self, daemon_wiring &wiring);

    /// Live VMs changed.
    void handle(const fleet_view &view);

    /// Another VM's entry of the spread map changed.
    void handle(const spread_entry &entry);

    /// The leader's beacon was heard, or its age is better known.
    void handle(const beacon_state &beacon);

private:
    void postRegistrarChanges(std::vector<vm_id> registrars);
    void postFreshness();
    void recordClaimsMember(const spread_entry &entry);
    void postClaimsMembers();

    void postToOperators(const entry_event &event);
    void postToEntryTask(entry_event event);

    peer_identity m_self; ///< This VM.
    daemon_wiring &m_wiring; ///< Not owned.
    std::vector<vm_id> m_registrars; ///< Other VMs that may hear instances and live, ordered by id.
    std::vector<vm_id> m_entryVms; ///< Other entry VMs that live, ordered by id.
    std::map<vm_id, claims_member> m_claimsMembers; ///< VMs that can keep claims, live or not.
    freshness_changed m_freshness; ///< As last told.
};

/// Watchers of the peers task that share one fleet_watch.
peers_watchers makePeersWatchers(const std::shared_ptr<fleet_watch> &watch, daemon_wiring &wiring);

} // namespace guavafront
