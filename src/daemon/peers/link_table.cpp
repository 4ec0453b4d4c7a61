#include "daemon/peers/link_table.h"

#include <guavafront/coordination/membership/member.h>

#include <event2/bufferevent.h>
#include <glog/logging.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace guavafront
{

namespace
{

constexpr duration idleCheckPeriod = std::chrono::seconds(10);

} // namespace

link_table::link_table(loop &owner, link_table_options options, link_table_events events)
    : m_loop(owner)
    , m_options(std::move(options))
    , m_events(std::move(events))
    , m_random(static_cast<std::uint32_t>(m_options.link.self.id.value))
    , m_destroyTimer(owner, [this] { m_ended.clear(); })
    , m_idleCheck(owner, [this] { closeIdle(); })
    , m_urgencyTimer(owner, [this] { renewUrgency(); })
    , m_recoveryTimer(owner, [this] { runRecoveries(); })
    , m_listener(owner, m_options.listenAddress, [this](bufferevent *socket) { accept(socket); })
{
    if (m_options.link.self.address.empty() || m_options.link.self.address.ends_with(":0")) {
        const std::string &listen = m_options.listenAddress;
        m_options.link.self.address = listen.substr(0, listen.rfind(':') + 1) + std::to_string(m_listener.port());
    }
    m_idleCheck.arm(idleCheckPeriod);
}

link_table::~link_table() = default;

void link_table::send(vm_id to, std::string_view address, envelope message)
{
    if (peer_link *link = to.value == 0 ? nullptr : readyLink(to)) {
        transmit(*link, message);
        return;
    }
    if (address.empty() || address == self().address) {
        ++m_counters.messagesDropped;
        return;
    }
    const std::string target(address);
    outgoing_connection &connection = m_outgoing[target];
    if (!connection.link && loop::now() < connection.notBefore) {
        ++m_counters.messagesDropped;
        return;
    }
    connection.pending.push_back({to, std::move(message)});
    if (connection.pending.size() > m_options.pendingMessages) {
        connection.pending.pop_front();
        ++m_counters.messagesDropped;
    }
    if (!connection.link) {
        open(target, connection);
    }
}

void link_table::disconnect(vm_id peer)
{
    const auto found = m_ready.find(peer);
    if (found == m_ready.end()) {
        return;
    }
    const std::vector<peer_link *> links = found->second;
    for (peer_link *each : links) {
        each->close();
    }
}

/// Lets the links to VMs with one of urgentRoles be handled first again.
void link_table::renewUrgency()
{
    for (const auto &[peer, links] : m_ready) {
        for (peer_link *each : links) {
            if ((each->peer().roles & m_options.urgentRoles) != 0) {
                each->allowUrgent(m_options.urgentMessages);
            }
        }
    }
}

bool link_table::isConnected(vm_id peer) const
{
    return m_ready.contains(peer);
}

std::vector<vm_id> link_table::connectedPeers() const
{
    std::vector<vm_id> peers;
    for (const auto &[peer, links] : m_ready) {
        peers.push_back(peer);
    }
    std::ranges::sort(peers, {}, &vm_id::value);
    return peers;
}

const peer_identity &link_table::self() const
{
    return m_options.link.self;
}

const link_counters &link_table::counters() const
{
    return m_counters;
}

peer_link *link_table::readyLink(vm_id peer) const
{
    const auto found = m_ready.find(peer);
    if (found == m_ready.end()) {
        return nullptr;
    }
    // When two VMs have opened links to each other, both use the link that the VM with the lower id opened. The other
    // link becomes idle and is closed.
    const bool ownPreferred = self().id.value < peer.value;
    const auto preferred = std::ranges::find_if(
        found->second, [ownPreferred](const peer_link *each) { return each->isInitiator() == ownPreferred; });
    return preferred != found->second.end() ? *preferred : found->second.front();
}

void link_table::transmit(peer_link &link, const envelope &message)
{
    detached_link *earlier = isResentByLinks(message.kind) ? awaitedResumption(m_detached, link.peer().id) : nullptr;
    if (earlier && message.body.size() <= m_options.link.limits.messageBytes) {
        // The messages of the ended link go first.
        keepSent(earlier->delivery, encodeEnvelope(message), delivery_urgency::AtOnce, loop::now());
    } else if (!link.send(message)) {
        ++m_counters.messagesDropped;
        return;
    }
    ++m_counters.messagesSent;
    m_counters.bytesSent += message.body.size();
}

void link_table::open(const std::string &address, outgoing_connection &target)
{
    ++m_counters.opened;
    if (bufferevent *socket = openConnection(m_loop, address, m_options.listenAddress)) {
        target.link = addLink(websocket_role::Client, socket, address);
    } else {
        ++m_counters.ended[static_cast<std::size_t>(link_end::ConnectFailed)];
        backOff(address);
    }
}

void link_table::accept(bufferevent *socket)
{
    std::size_t readyLinks = 0;
    for (const auto &[peer, links] : m_ready) {
        readyLinks += links.size();
    }
    if (m_links.size() - readyLinks >= m_options.maxHandshakes) {
        ++m_counters.refused;
        bufferevent_free(socket);
        return;
    }
    ++m_counters.accepted;
    addLink(websocket_role::Server, socket, {});
}

peer_link *link_table::addLink(websocket_role role, bufferevent *socket, const std::string &address)
{
    auto slot = std::make_shared<peer_link *>(nullptr);
    peer_link_events events{.ready = [this, slot, address](const peer_identity &) { handleReady(**slot, address); },
                            .received =
                                [this, slot](envelope message) {
                                    ++m_counters.messagesReceived;
                                    m_counters.bytesReceived += message.body.size();
                                    if ((*slot)->isUrgencyUsedUp()) {
                                        m_urgencyTimer.arm({});
                                    }
                                    m_events.received((*slot)->peer(), std::move(message));
                                },
                            .closed = [this, slot, address](link_end reason) { handleClosed(**slot, reason, address); },
                            .silent = [this, slot] { startRecovery((*slot)->peer().id, (*slot)->peer().address); },
                            .resumption =
                                [this, slot](const link_resumption &statement) {
                                    handleResumption(**slot, statement);
                                }};
    auto link = std::make_unique<peer_link>(m_loop, m_options.link, role, socket, std::move(events));
    *slot = link.get();
    return m_links.emplace(*slot, std::move(link)).first->second.get();
}

/// Whether each change of the links to a VM is logged: between control VMs, whose votes depend on them.
bool link_table::isLogged(const peer_identity &peer) const
{
    return (peer.roles & self().roles & ControlRole) != 0;
}

void link_table::handleReady(peer_link &link, const std::string &address)
{
    ++m_counters.ready;
    const peer_identity peer = link.peer();
    m_ready[peer.id].push_back(&link);
    if ((peer.roles & m_options.urgentRoles) != 0) {
        link.allowUrgent(m_options.urgentMessages);
    }
    if (isLogged(peer)) {
        LOG(INFO) << "link to VM " << std::hex << peer.id.value << std::dec << " at " << peer.address
                  << " is ready, opened by " << (link.isInitiator() ? "this VM" : "the peer") << "; "
                  << m_ready[peer.id].size() << " in all";
    }
    replaceSilentLinks(link);
    offerResumptions(link);
    std::deque<pending_message> pending;
    if (const auto connection = m_outgoing.find(address); connection != m_outgoing.end()) {
        pending = std::exchange(connection->second.pending, {});
        const bool wanted = std::ranges::any_of(
            pending, [&peer](const pending_message &each) { return each.to.value == 0 || each.to == peer.id; });
        if (wanted) {
            m_outgoing.erase(connection);
        } else {
            // Another VM answered. Without a backoff, each further message to the VM that had this address would open a
            // link.
            backOff(address);
        }
    }
    for (const pending_message &each : pending) {
        if (each.to.value == 0 || each.to == peer.id) {
            transmit(link, each.message);
        } else {
            ++m_counters.messagesDropped;
        }
    }
    if (link.ready()) {
        m_events.ready(peer);
    }
}

void link_table::handleClosed(peer_link &link, link_end reason, const std::string &address)
{
    ++m_counters.ended[static_cast<std::size_t>(reason)];
    const auto owned = m_links.find(&link);
    assert(owned != m_links.end());
    m_ended.push_back(std::move(owned->second));
    m_links.erase(owned);
    m_destroyTimer.arm({});
    const auto outgoing = m_outgoing.find(address);
    if (outgoing != m_outgoing.end() && outgoing->second.link == &link) {
        backOff(address);
        return;
    }
    const vm_id peer = link.peer().id;
    const auto ready = m_ready.find(peer);
    if (ready == m_ready.end() || std::erase(ready->second, &link) == 0) {
        return;
    }
    const bool isLast = ready->second.empty();
    const bool isNotable =
        isLast && (reason == link_end::Silent || reason == link_end::TooSlow || reason == link_end::Malformed);
    if (isNotable || isLogged(link.peer())) {
        LOG(WARNING) << "link to VM " << std::hex << peer.value << std::dec << " at " << link.peer().address
                     << " ended: " << linkEndName(reason) << "; " << link.unconfirmed().kept.size() << " messages ("
                     << link.unconfirmed().keptBytes << " bytes) may not have arrived; " << ready->second.size()
                     << " links left";
    }
    if (isLast) {
        m_ready.erase(ready);
    }
    detachLink(link, reason);
    if (!isLast) {
        return;
    }
    m_events.lost(peer);
}

void link_table::backOff(const std::string &address)
{
    outgoing_connection &connection = m_outgoing[address];
    m_counters.messagesDropped += connection.pending.size();
    connection.pending.clear();
    connection.link = nullptr;
    connection.backoff = std::clamp(connection.backoff * 2, m_options.backoffFirst, m_options.backoffLongest);
    std::uniform_int_distribution<std::int64_t> wait(connection.backoff.count() / 2, connection.backoff.count());
    connection.notBefore = loop::now() + duration(wait(m_random));
}

void link_table::closeIdle()
{
    const instant now = loop::now();
    std::vector<peer_link *> idle;
    for (const auto &[key, link] : m_links) {
        if (link->ready() && now - link->lastUsed() > m_options.idleLimit) {
            idle.push_back(link.get());
        }
    }
    for (peer_link *each : idle) {
        each->close();
    }
    forgetExpired();
    std::erase_if(m_outgoing, [this, now](const auto &entry) {
        return !entry.second.link && now - entry.second.notBefore > m_options.backoffLongest;
    });
    m_idleCheck.arm(idleCheckPeriod);
}

} // namespace guavafront
