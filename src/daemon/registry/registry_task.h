#pragma once

#include "daemon/peers/peers_message.h"
#include "runtime/loop.h"
#include "runtime/mailbox.h"
#include "runtime/timer.h"

#include <guavafront/coordination/entry/entry_event.h>
#include <guavafront/coordination/registry/registry.h>

namespace guavafront
{

/// Receives announcements of upstream instances on a VM without the entry role, keeps the instances' leases and
/// publishes the instances to the other VMs.
class registry_task
{
public:
    /// Handles the events of inbox that concern the registry; the others concern callers and are dropped.
    registry_task(loop &owner, vm_id self, mailbox<entry_event> &inbox, mailbox<peers_message> &peers);

private:
    void handle(const instance_announced &event);
    void handle(const instance_left &event);
    void handle(const instance_reported &event);
    void handle(const departure_reported &event);
    void handle(const instance_withdrawn &event);
    void handle(const vm_reachability_changed &event);
    void handle(const publications_lost &event);
    void handle(const known_instances_requested &event);
    void handle(const warmups_reported &event);
    template<class ignored_event>
    void handle(const ignored_event & /*event*/)
    {
    }

    void publish(const announcement &published);
    void publishWarmup(const announcement &received);
    void tick();

    mailbox<peers_message> &m_peers; ///< Inbox of the peers task; not owned.
    registry m_state; ///< All known instances.
    warmup m_warmups; ///< Cold instances, to tell VMs that lack them; limits and entry VMs are unused.
    timer m_timer; ///< Checks for expired leases.
    mailbox_attachment<entry_event> m_attachment;
};

} // namespace guavafront
