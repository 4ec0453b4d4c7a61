#pragma once

#include "daemon/peers/peers_message.h"
#include "runtime/loop.h"
#include "runtime/mailbox.h"
#include "runtime/timer.h"
#include "wire/load_codec.h"

#include <guavafront/coordination/loads/load_totals.h>

#include <unordered_map>

namespace guavafront
{

/// Event: another VM sent loads of upstream instances.
struct loads_received {
    vm_id from; ///< VM that sent the loads.
    load_message message; ///< Loads and the stage of their distribution.
};

/// Load hub of a control VM. It sums the unanswered requests that entry VMs report for each upstream instance and
/// publishes the sums to the entry VMs that report to it, several times a second.
class hub_task
{
public:
    /// Handles the loads that arrive in inbox. All arguments must outlive the task.
    hub_task(loop &owner, mailbox<loads_received> &inbox, mailbox<peers_message> &peers);

private:
    void receive(const loads_received &received);
    void publish();
    void send(vm_id to, load_stage stage, const std::vector<instance_load> &loads);

    mailbox<peers_message> &m_peers; ///< Mailbox of the peers task, which sends to other VMs; not owned.
    load_totals m_fleetLoads; ///< Sums over all VMs of the fleet, as reported here or gathered by other hubs.
    load_totals m_ownLoads; ///< Sums over the entry VMs that report to this hub; sent to the other hubs.
    std::unordered_map<vm_id, instant>
        m_reporters; ///< Time of the last report of each entry VM that reports to this hub.
    timer m_publishTimer; ///< Runs publish(); armed by the first loads received after the last publication.
    bool m_publishTimerArmed = false; ///< m_publishTimer is armed.
    mailbox_attachment<loads_received> m_attachment; ///< Delivers received loads to receive().
};

} // namespace guavafront
