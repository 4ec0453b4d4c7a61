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

/// Loads that another VM sent.
struct loads_received {
    vm_id from; ///< Sender.
    load_message message; ///< What it sent.
};

/// Sums what entry VMs have at instances on a control VM, and tells its entry VMs some times a second.
class hub_task
{
public:
    /// Takes loads from inbox.
    hub_task(loop &owner, mailbox<loads_received> &inbox, mailbox<peers_message> &peers);

private:
    void receive(const loads_received &received);
    void publish();
    void send(vm_id to, load_stage stage, const std::vector<instance_load> &loads);

    mailbox<peers_message> &m_peers; ///< Not owned.
    load_totals m_fleetLoads; ///< Of the whole fleet.
    load_totals m_ownLoads; ///< Of this hub's entry VMs alone; the other hubs are told of these sums.
    std::unordered_map<vm_id, instant> m_reporters; ///< Entry VMs that report here, with when they last did.
    timer m_publishTimer; ///< Next time; runs while there is something to tell.
    bool m_publishTimerArmed = false; ///< The timer runs.
    mailbox_attachment<loads_received> m_attachment; ///< To the inbox.
};

} // namespace guavafront
