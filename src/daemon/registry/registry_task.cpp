#include "daemon/registry/registry_task.h"

#include "daemon/fleet/shared_state.h"
#include "daemon/registry/known_instances.h"
#include "wire/registry_codec.h"

#include <glog/logging.h>

#include <variant>

namespace guavafront
{

namespace
{

/// Time between two checks for expired leases; short beside leases, which last tens of seconds.
constexpr duration expiryPeriod = std::chrono::seconds(1);

} // namespace

registry_task::registry_task(loop &owner, vm_id self, mailbox<entry_event> &inbox, mailbox<peers_message> &peers)
    : m_peers(peers)
    , m_timer(owner, [this] { tick(); })
    , m_attachment(inbox, owner,
                   [this](const entry_event &event) { std::visit([this](const auto &each) { handle(each); }, event); })
{
    m_state.self = self;
    m_timer.arm(expiryPeriod);
    m_peers.post(resend_state{});
}

void registry_task::handle(const instance_announced &event)
{
    const registry_change change = announce(m_state, event.announced, loop::now());
    if (change == registry_change::None) {
        return;
    }
    const announcement &held = findInstance(m_state, event.announced.instance)->last;
    publishWarmup(held);
    if (change == registry_change::Changed) {
        publish(held);
    }
}

void registry_task::handle(const instance_left &event)
{
    if (const auto last = deregister(m_state, event.name, event.born, loop::now())) {
        publish(*last);
    }
}

/// Tells all VMs for how much longer the instance is cold. It is told with each announcement, so that a lost message
/// matters for the time between two announcements at most, and before the announcement, so that no VM knows the
/// instance without its warm-up.
void registry_task::publishWarmup(const announcement &received)
{
    const warmup_notice notice{received.instance, received.warmupLeft};
    recordWarmup(m_warmups, notice, loop::now());
    if (notice.left > duration::zero() && received.state < instance_state::Draining) {
        sendWarmups(m_peers, {std::nullopt, {notice}});
    }
}

void registry_task::handle(const warmups_reported &event)
{
    for (const warmup_notice &each : event.notices) {
        recordWarmup(m_warmups, each, loop::now());
    }
}

/// Sends the announcement to all VMs at once, and also publishes it in the spread map, which repairs losses. Departures
/// are sent by the departures task.
void registry_task::publish(const announcement &published)
{
    if (published.state < instance_state::Draining) {
        m_peers.post(
            send_to_roles{EntryRole | ControlRole, {.kind = channel::Registry, .body = encodeAnnouncement(published)}});
    }
    m_peers.post(publicationOf(publish_instance{published}));
}

void registry_task::handle(const instance_reported &event)
{
    const registry_change change = learn(m_state, event.registrar, event.announced, loop::now());
    if (change == registry_change::HandedOver) {
        m_peers.post(publicationOf(withdraw_instance{event.announced.instance}));
    } else if (change == registry_change::Changed) {
        publish(findInstance(m_state, event.announced.instance)->last);
    }
}

void registry_task::handle(const departure_reported &event)
{
    if (const auto last = depart(m_state, event.what, loop::now()).toPublish) {
        m_peers.post(publicationOf(publish_instance{*last}));
    }
}

void registry_task::handle(const instance_withdrawn &event)
{
    forget(m_state, event.registrar, event.instance);
}

void registry_task::handle(const vm_reachability_changed &event)
{
    if (event.reachable) {
        onRegistrarReachable(m_state, event.vm);
    } else {
        onRegistrarLost(m_state, event.vm, loop::now());
    }
}

void registry_task::handle(const publications_lost & /*event*/)
{
    for (const service_instances &service : m_state.services) {
        for (const registered_instance &each : service.instances) {
            if (each.registrar == m_state.self) {
                m_peers.post(publicationOf(publish_instance{each.last}));
            }
        }
    }
}

void registry_task::handle(const known_instances_requested &event)
{
    if (const auto cold = coldInstances(m_warmups, loop::now()); !cold.empty()) {
        sendWarmups(m_peers, {event.from, cold});
    }
    sendKnownInstances(m_peers, event.from, instancesForCatchUp(m_state, event.fingerprint));
}

void registry_task::tick()
{
    removeOldWarmups(m_warmups, loop::now());
    for (const registered_instance &each : expire(m_state, loop::now())) {
        if (each.registrar == m_state.self) {
            m_peers.post(publicationOf(withdraw_instance{each.last.instance}));
        }
    }
    m_timer.arm(expiryPeriod);
}

} // namespace guavafront
