// The part of link_table that replaces links which went silent or ended with messages that hadn't arrived.
#include "daemon/peers/link_table.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace guavafront
{

void link_table::verify(vm_id peer)
{
    if (peer_link *link = readyLink(peer)) {
        link->verify();
    }
}

/// Remembers what may not have arrived on a link that has just ended.
void link_table::detachLink(peer_link &link, link_end reason)
{
    if (!link.isResumable()) {
        return;
    }
    const peer_identity &peer = link.peer();
    link_delivery delivery = link.takeDelivery();
    if (reason == link_end::TooSlow) {
        // A peer that doesn't read gets no more of the same.
        m_counters.messagesDropped += delivery.kept.size();
        dropArrived(delivery, delivery.lastSent);
    }
    const bool undelivered = hasUnconfirmed(delivery);
    detach(m_detached,
           {.link = link.identity(), .peer = peer.id, .address = peer.address, .delivery = std::move(delivery)},
           loop::now());
    if (reason == link_end::Replaced) {
        return;
    }
    if (peer_link *other = readyLink(peer.id)) {
        offerResumptions(*other);
    } else if (undelivered) {
        startRecovery(peer.id, peer.address);
    }
}

/// Ends the other links to the VM to which a link has just become ready, if one of them is silent: what silenced that
/// one may have silenced those that are older and unused.
void link_table::replaceSilentLinks(const peer_link &replacement)
{
    const std::vector<peer_link *> links = m_ready[replacement.peer().id];
    if (std::ranges::none_of(links, &peer_link::isSilent)) {
        return;
    }
    for (peer_link *each : links) {
        if (each != &replacement) {
            each->close(link_end::Replaced);
        }
    }
}

/// Tells the peer what was received on the ended links to it, so that both ends send the rest again.
void link_table::offerResumptions(peer_link &link)
{
    if (!link.isResumable()) {
        return;
    }
    for (const link_resumption &offer : offersTo(m_detached, link.peer().id)) {
        link.sendResumption(offer);
    }
    link.verify(); // What waits for the peer's statement must not wait on another silent link.
}

void link_table::handleResumption(peer_link &link, const link_resumption &statement)
{
    const instant begin = loop::now();
    const vm_id peer = link.peer().id;
    const std::vector<peer_link *> links = m_ready[peer];
    for (peer_link *each : links) {
        if (each != &link && each->isResumable() && each->identity() == statement.link) {
            each->close(link_end::Replaced);
        }
    }
    const resumption_result result = guavafront::handleResumption(m_detached, peer, statement);
    m_counters.messagesDropped += result.lost;
    if (result.answer && link.ready()) {
        link.sendResumption(*result.answer);
    }
    resend(link, result.resend);
    m_counters.resuming += loop::now() - begin;
}

void link_table::resend(peer_link &link, std::span<const kept_message> messages)
{
    for (const kept_message &each : messages) {
        const std::size_t maxBytes = m_options.link.limits.messageBytes + envelopeOverheadBytes;
        if (link.send(decodeEnvelope(each.bytes, maxBytes))) {
            ++m_counters.messagesResent;
        } else {
            ++m_counters.messagesDropped;
        }
    }
}

void link_table::startRecovery(vm_id peer, const std::string &address)
{
    const recovery first{.address = address, .pause = m_options.recoveryFirst, .nextAttempt = loop::now()};
    if (m_recoveries.try_emplace(peer, first).second) {
        ++m_counters.recoveries;
        LOG(WARNING) << "link to VM " << std::hex << peer.value << std::dec << " at " << address
                     << " is silent or ended with messages for it; opening another";
        m_recoveryTimer.arm({});
    }
}

/// Whether a link to the VM is silent, or messages for it wait for a link.
bool link_table::needsRecovery(vm_id peer) const
{
    const auto ready = m_ready.find(peer);
    if (ready == m_ready.end()) {
        return hasUndelivered(m_detached, peer);
    }
    return std::ranges::any_of(ready->second, &peer_link::isSilent);
}

/// Opens links in place of those that don't work. A first attempt may meet a silent connection, too, so that the next
/// one doesn't wait for its end.
void link_table::runRecoveries()
{
    forgetExpired();
    const instant now = loop::now();
    std::erase_if(m_recoveries, [this](const auto &each) { return !needsRecovery(each.first); });
    instant next = instant::max();
    for (auto &[peer, each] : m_recoveries) {
        if (now >= each.nextAttempt) {
            ++m_counters.opened;
            if (bufferevent *socket = openConnection(m_loop, each.address, m_options.listenAddress)) {
                addLink(websocket_role::Client, socket, {});
            }
            each.nextAttempt = now + each.pause;
            each.pause = std::min(each.pause * 2, m_options.recoveryLongest);
        }
        next = std::min(next, each.nextAttempt);
    }
    if (!m_recoveries.empty()) {
        m_recoveryTimer.arm(next - now);
    }
}

void link_table::forgetExpired()
{
    for (const detached_link &each : takeExpired(m_detached, loop::now())) {
        m_counters.messagesDropped += each.delivery.kept.size();
    }
}

} // namespace guavafront
