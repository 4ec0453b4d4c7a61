#include "daemon/peers/peers_task.h"

#include "wire/membership_codec.h"
#include "wire/spread_codec.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <glog/logging.h>
#include <sodium.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace guavafront
{

namespace
{

constexpr duration tickPeriod = std::chrono::milliseconds(100);
constexpr duration statisticsPeriod = std::chrono::seconds(1);
/// Time for the leave messages to be sent before the loop stops.
constexpr duration leaveSendTime = std::chrono::milliseconds(200);
/// Requests of other tasks that are handled before urgent ones are looked for.
constexpr std::size_t requestBatch = 32;
/// Version of the body of membership and spread messages.
constexpr std::uint8_t bodyVersion = 1;

random_source systemSeededRandom()
{
    random_source random;
    randombytes_buf(&random.state, sizeof random.state);
    return random;
}

member_record recordOf(const peer_identity &identity)
{
    return {.id = identity.id, .address = identity.address, .dataCentre = identity.dataCentre, .roles = identity.roles};
}

std::string_view memberStatusName(member_status status)
{
    constexpr std::array<std::string_view, 4> names{"alive", "suspect", "dead", "left"};
    return names[static_cast<std::size_t>(status)];
}

void checkVersion(const envelope &message)
{
    if (message.version != bodyVersion) {
        throw coordination_error(result_code::MessageUnknown, "unknown version of a peer's message");
    }
}

} // namespace

peers_task::peers_task(loop &owner, peers_task_options options, const peers_inboxes &inboxes)
    : m_loop(owner)
    , m_options(std::move(options))
    , m_random(systemSeededRandom())
    , m_links(owner, m_options.links,
              {.ready = [this](const peer_identity &peer) { recordSeedIdentity(peer); },
               .received =
                   [this](const peer_identity &from, envelope message) {
                       const instant begin = loop::now();
                       const channel kind = message.kind;
                       receive(from, std::move(message));
                       m_work.addReceived(kind, begin);
                   },
               .lost =
                   [](vm_id) {
                   }})
    , m_membership(makeMembership(recordOf(m_links.self()), m_options.seeds, m_options.membershipTimes, m_options.book))
    , m_spread(makeSpreadTable(m_links.self().id, m_options.spreadLimits))
    , m_tickTimer(owner, [this] { tick(); })
    , m_stopDelay(owner, [this] { m_loop.stop(); })
    , m_urgentInbox(inboxes.urgent, owner, [this](peers_message message) { dispatch(std::move(message)); },
                    {.urgency = event_urgency::Urgent})
    , m_inbox(inboxes.requests, owner, [this](peers_message message) { dispatch(std::move(message)); },
              {.batch = requestBatch})
{
    owner.onStopRequested([this] { stop(); });
    m_tickTimer.arm({});
    for (const auto &watcher : m_options.watchers.started) {
        watcher();
    }
}

const peer_identity &peers_task::self() const
{
    return m_links.self();
}

void peers_task::dispatch(peers_message message)
{
    const instant begin = loop::now();
    try {
        std::visit([this](const auto &each) { handle(each); }, message);
    } catch (const coordination_error &error) {
        ++m_unhandledMessages;
        LOG(ERROR) << "request to the peers task refused: " << error.what();
    }
    m_work.addRequest(begin);
}

void peers_task::handle(const send_to_vm &message)
{
    sendTo(message.to, message.message);
}

void peers_task::handle(const send_to_vms &message)
{
    for (const vm_id to : message.to) {
        sendTo(to, message.message);
    }
}

void peers_task::handle(const send_to_seeds &message)
{
    for (const std::string &seed : m_options.seeds) {
        // A link is found by the VM's id only. Without the id of the VM that last answered at the seed's address, each
        // message would open a link of its own.
        const auto known = m_seedIds.find(seed);
        const bool linked = known != m_seedIds.end() && m_links.isConnected(known->second);
        m_links.send(linked ? known->second : vm_id{}, seed, message.message);
    }
}

void peers_task::handle(const send_to_linked &message)
{
    for (const vm_id peer : m_links.connectedPeers()) {
        m_links.send(peer, {}, message.message);
    }
}

void peers_task::handle(const send_to_roles &message)
{
    for (const member_record &each : liveMembers(m_membership)) {
        if ((each.roles & message.roles) != 0 && each.id != self().id) {
            m_links.send(each.id, each.address, message.message);
        }
    }
}

void peers_task::handle(const spread_publish &message)
{
    stepSpread(message);
}

void peers_task::handle(const spread_withdraw &message)
{
    stepSpread(message);
}

void peers_task::handle(const issue_beacon &message)
{
    issueBeacon(m_beacon, message.leaderTerm, message.counter, message.accepted, message.asOf);
}

void peers_task::handle(const send_to_hubs &message)
{
    std::vector<member_record> hubs = liveMembers(m_membership);
    std::erase_if(
        hubs, [this](const member_record &each) { return (each.roles & ControlRole) == 0 || each.id == self().id; });
    std::stable_partition(hubs.begin(), hubs.end(), [this](const member_record &each) {
        return each.dataCentre == self().dataCentre && each.status == member_status::Alive;
    });
    for (std::size_t index = 0; index < std::min(hubs.size(), message.count); ++index) {
        const bool isSecond = index > 0 && message.secondMessage;
        m_links.send(hubs[index].id, hubs[index].address, isSecond ? *message.secondMessage : message.message);
    }
    if (hubs.empty()) {
        handle(send_to_linked{message.message});
    }
}

void peers_task::handle(const resend_state & /*message*/)
{
    publishView(true);
    m_publishedBeacon = {};
    publishFreshness();
    for (const auto &[key, stored] : m_spread.entries) {
        if (!stored.removed && key.owner != self().id) {
            publishEntry({.key = key, .version = stored.version, .removed = false, .payload = stored.payload});
        }
    }
}

void peers_task::recordSeedIdentity(const peer_identity &peer)
{
    if (std::ranges::find(m_options.seeds, peer.address) != m_options.seeds.end()) {
        m_seedIds[peer.address] = peer.id;
    }
}

void peers_task::sendTo(vm_id to, const envelope &message)
{
    if (to == self().id) {
        receive(self(), message);
        return;
    }
    const member_record *receiver = findMember(m_membership, to);
    m_links.send(to, receiver ? receiver->address : "", message);
}

void peers_task::receive(const peer_identity &from, envelope message)
{
    if (message.kind == channel::Membership) {
        receiveMembership(from.id, message);
        return;
    }
    if (message.kind == channel::Spread) {
        checkVersion(message);
        stepSpread(spread_received{from.id, decodeSpread(message.body)});
        return;
    }
    const channel_subscriber &subscriber = m_options.subscribers[static_cast<std::size_t>(message.kind)];
    if (!subscriber) {
        ++m_unhandledMessages;
        return;
    }
    subscriber(from, std::move(message));
}

void peers_task::receiveMembership(vm_id from, const envelope &message)
{
    checkVersion(message);
    membership_message decoded = decodeMembership(message.body);
    const auto *ack = std::get_if<membership_ack>(&decoded);
    const std::optional<beacon> freshness = ack ? ack->leaderBeacon : std::nullopt;
    stepMembership(membership_received{from, std::move(decoded)}, freshness);
}

void peers_task::stepMembership(const membership_event &event, const std::optional<beacon> &freshness)
{
    std::vector<membership_effect> effects;
    step(m_membership, event, loop::now(), m_random, effects);
    for (const membership_effect &each : effects) {
        apply(each, freshness);
    }
}

void peers_task::apply(const membership_effect &effect, const std::optional<beacon> &freshness)
{
    if (const auto *send = std::get_if<send_membership>(&effect)) {
        transmit(*send);
    } else if (const auto *answered = std::get_if<probe_answered>(&effect)) {
        if (freshness) {
            receiveBeacon(m_beacon, *freshness, answered->sentAt);
        }
    } else if (const auto *change = std::get_if<member_changed>(&effect)) {
        applyMemberChange(change->record);
    } else if (std::holds_alternative<targets_changed>(effect)) {
        updateSpreadPeers();
    } else {
        m_viewChanged = true;
    }
}

void peers_task::transmit(const send_membership &effect)
{
    membership_message message = effect.message;
    if (auto *ack = std::get_if<membership_ack>(&message)) {
        ack->leaderBeacon = relayedBeacon(m_beacon, loop::now());
    } else if (const auto *request = std::get_if<membership_ping_request>(&message)) {
        // A VM that doesn't answer may be well, and its link silent.
        m_links.verify(request->target);
    }
    m_links.send(effect.to, effect.address,
                 {.kind = channel::Membership, .version = bodyVersion, .body = encodeMembership(message)});
}

void peers_task::stepSpread(const spread_event &event)
{
    std::vector<spread_effect> effects;
    step(m_spread, event, loop::now(), m_random, effects);
    for (const spread_effect &each : effects) {
        apply(each);
    }
}

void peers_task::apply(const spread_effect &effect)
{
    if (const auto *change = std::get_if<entry_changed>(&effect)) {
        publishEntry(change->entry);
        return;
    }
    const auto &send = std::get<send_spread>(effect);
    sendTo(send.to, {.kind = channel::Spread, .version = bodyVersion, .body = encodeSpread(send.message)});
}

void peers_task::applyMemberChange(const member_record &record)
{
    m_viewChanged = true;
    const bool live = record.status <= member_status::Suspect;
    if (m_spread.liveOwners.contains(record.id) != live) {
        LOG(INFO) << "VM " << std::hex << record.id.value << std::dec << " at " << record.address << " is "
                  << memberStatusName(record.status);
    }
    stepSpread(spread_owner_changed{record.id, live});
}

void peers_task::updateSpreadPeers()
{
    m_viewChanged = true;
    std::vector<vm_id> peers;
    for (const auto &[id, target] : m_membership.targets) {
        peers.push_back(id);
    }
    stepSpread(spread_peers_changed{std::move(peers)});
}

void peers_task::tick()
{
    noteStandstill(tickPeriod);
    const instant begin = loop::now();
    m_tickTimer.arm(tickPeriod);
    stepMembership(membership_tick{});
    if (takeRenewal(m_beacon, loop::now())) {
        stepMembership(membership_ping_wanted{ControlRole});
    }
    stepSpread(spread_tick{});
    publishView(false);
    publishFreshness();
    if (loop::now() >= m_nextStatistics) {
        m_nextStatistics = loop::now() + statisticsPeriod;
        publishStatistics();
        logWork();
    }
    m_work.addTick(begin);
}

void peers_task::stop()
{
    m_tickTimer.cancel();
    stepMembership(membership_leave{});
    m_stopDelay.arm(leaveSendTime);
}

} // namespace guavafront
