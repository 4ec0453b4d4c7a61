#pragma once

#include "daemon/hub/hub_message.h"
#include "daemon/peers/peers_message.h"
#include "runtime/loop.h"
#include "runtime/mailbox.h"
#include "runtime/timer.h"

#include <guavafront/coordination/loads/load_totals.h>

#include <unordered_map>

namespace guavafront
{

/// Hub of a control VM. It sums the unanswered requests that entry VMs report for each upstream instance and publishes
/// the sums to the entry VMs that report to it, several times a second. It relays evidence on instances to the other
/// hubs and to the entry VMs that have it as a home.
class hub_task
{
public:
    /// Handles the messages that arrive in inbox; self is this VM. All arguments must outlive the task.
    hub_task(loop &owner, const fleet_vm &self, mailbox<hub_message> &inbox, mailbox<peers_message> &peers);

private:
    void handle(const loads_received &message);
    void handle(const evidence_from_peer &message);
    void handle(const hub_fleet_changed &message);
    void publishLoads();
    void sendToHubs(instant now);
    void publishEvidence();
    void send(const send_evidence &effect);

    mailbox<peers_message> &m_peers; ///< Mailbox of the peers task, which sends to other VMs; not owned.
    load_totals m_fleetLoads; ///< Sums over all VMs of the fleet, as reported here or gathered by other hubs.
    load_totals m_ownLoads; ///< Sums over the entry VMs that report to this hub; sent to the other hubs.
    /// Time of the last report of each entry VM that reports to this hub.
    std::unordered_map<vm_id, instant> m_reporters;
    /// Time of the last report with work of each entry VM that reports to this hub; the others run the previous build.
    std::unordered_map<vm_id, instant> m_workReporters;
    work_totals m_fleetWork; ///< What requests take, as all VMs of the fleet observe it.
    std::vector<route_samples> m_ownSamples; ///< Samples that entry VMs reported here, not yet sent to the other hubs.
    evidence_relay m_evidence; ///< State of the relay of evidence.
    timer m_loadsTimer; ///< Runs publishLoads(); armed by the first loads received after the last publication.
    bool m_loadsTimerArmed = false; ///< m_loadsTimer is armed.
    timer m_evidenceTimer; ///< Runs publishEvidence().
    mailbox_attachment<hub_message> m_attachment; ///< Delivers messages to handle().
};

} // namespace guavafront
