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

/// Distributes what the peers task learns about the fleet: turns each change into messages to the tasks that react to
/// it. Runs on the peers task's thread.
class fleet_watch
{
public:
    /// Creates a watch that posts to the mailboxes of wiring, which must outlive it.
    fleet_watch(const peer_identity &self, daemon_wiring &wiring);

    /// Handles a change of the set of live VMs, or of the share of the fleet that this VM reaches.
    void handle(const fleet_view &view);

    /// Handles a change of another VM's entry in the spread map.
    void handle(const spread_entry &entry);

    /// Handles a newer beacon of the control leader, or a tighter bound of the beacon's age.
    void handle(const beacon_state &beacon);

private:
    void postRegistrarChanges(std::vector<vm_id> registrars);
    void postFreshness();
    void recordClaimsMember(const spread_entry &entry);
    void postClaimsMembers();

    void postToOperators(const entry_event &event);
    void postToEntryTask(entry_event event);

    peer_identity m_self; ///< Identity of this VM.
    daemon_wiring &m_wiring; ///< Mailboxes of the daemon's tasks; not owned.
    std::vector<vm_id> m_registrars; ///< Other live VMs that can receive announcements of instances, ordered by id.
    std::vector<vm_id> m_entryVms; ///< Other live entry VMs, ordered by id.
    std::map<vm_id, claims_member> m_claimsMembers; ///< Entry VMs that offer to store claims, by id.
    freshness_changed m_freshness; ///< Freshness of the configuration, as last posted to the entry task.
};

/// Returns callbacks for the peers task that pass its updates to the given watch. wiring must outlive them.
peers_watchers makePeersWatchers(const std::shared_ptr<fleet_watch> &watch, daemon_wiring &wiring);

} // namespace guavafront
