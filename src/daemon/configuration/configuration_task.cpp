#include "daemon/configuration/configuration_task.h"

#include "wire/configuration_codec.h"
#include "wire/configuration_history.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <glog/logging.h>
#include <sodium.h>

#include <algorithm>
#include <utility>

namespace guavafront
{

namespace
{

/// Maximum size of the part of a snapshot in one message.
constexpr std::size_t snapshotPartBytes = std::size_t{128} << 10;
/// Maximum size of the deltas in one message, unless the first is larger; the receiver pulls the rest afterwards.
constexpr std::size_t maxDeltaBytes = std::size_t{256} << 10;
/// Maximum number of VMs that are remembered as peers before the membership is known.
constexpr std::size_t maxLearnedPeers = 64;

std::uint64_t randomSeed()
{
    std::uint64_t seed = 0;
    randombytes_buf(&seed, sizeof seed);
    return seed;
}

/// Returns a message with the first of the deltas, as many as fit.
deltas_message messageOf(std::span<const configuration_delta> deltas)
{
    deltas_message message;
    std::size_t bytes = 0;
    for (const configuration_delta &delta : deltas) {
        bytes += deltas.size() > 1 ? encodeChanges(delta.changes).size() : 0;
        if (bytes > maxDeltaBytes && !message.deltas.empty()) {
            break;
        }
        message.deltas.push_back(delta);
    }
    return message;
}

} // namespace

configuration_task::configuration_task(loop &owner, configuration_task_options options,
                                       mailbox<configuration_message> &inbox)
    : m_options(std::move(options))
    , m_random(randomSeed())
    , m_confirmations(owner, confirmationOptions())
    , m_timer(owner, [this] { tick(); })
    , m_attachment(inbox, owner, [this](const configuration_message &message) {
        std::visit([this](const auto &each) { handle(each); }, message);
    })
{
    m_follower.options = m_options.follower;
    if (m_options.isControl) {
        m_follower.options.fanOut = m_follower.options.controlFanOut;
    }
    tick();
}

void configuration_task::handle(const configuration_from_peer &message)
{
    try {
        addLearnedPeer(message.from);
        std::visit([this, &message](const auto &content) { receive(message.from, content); },
                   decodeFollowerMessage(message.message.body));
    } catch (const coordination_error &error) {
        LOG(WARNING) << "configuration message refused: " << describe(error.code()).name;
    }
}

void configuration_task::handle(const configuration_accepted &message)
{
    stepFollower(revision_applied{message.value, message.digest, message.deltas});
}

void configuration_task::handle(const configuration_requested & /*message*/) const
{
    if (m_follower.current->atRevision.value > 0) {
        m_options.subscriber(m_follower.current);
    }
}

void configuration_task::handle(const accepted_revision_reported &message)
{
    stepFollower(revision_announced{message.accepted});
}

void configuration_task::handle(const live_vms_changed &message)
{
    m_membershipKnown = true;
    stepFollower(peers_changed{message.vms});
    m_confirmations.recordEntryVms(message.entries);
}

void configuration_task::handle(const configuration_applied &message)
{
    m_confirmations.recordApplied(message.inForce);
}

void configuration_task::handle(const confirmation_requested &message)
{
    // An entry VM that is cut off from the others refuses keyed requests after this time.
    const std::chrono::milliseconds grace(m_follower.current->defaults.stalenessLimitMs);
    message.answer(m_confirmations.queryStatus(message.wanted, grace));
}

void configuration_task::receive(vm_id from, const offer_message &message)
{
    stepFollower(offer_received{from, message.held});
}

void configuration_task::receive(vm_id from, const pull_message &message)
{
    stepFollower(pull_received{from, message.held, message.snapshot});
}

void configuration_task::receive(vm_id from, const deltas_message &message)
{
    if (!std::ranges::all_of(message.deltas, [this](const auto &delta) { return hasValidDigest(delta); })) {
        throw coordination_error(result_code::MessageMalformed, "the digest of a configuration delta is wrong");
    }
    stepFollower(deltas_received{from, message.deltas});
}

void configuration_task::receive(vm_id from, const snapshot_part &part)
{
    stepFollower(snapshot_part_received{from, part});
}

void configuration_task::receive(vm_id from, const revision_report &report)
{
    m_confirmations.recordReport(from, report);
}

void configuration_task::receive(vm_id from, const report_request & /*message*/) const
{
    m_confirmations.sendReportTo(from);
}

void configuration_task::stepFollower(const follower_event &event)
{
    std::vector<follower_effect> effects;
    step(m_follower, event, loop::now(), m_random(), effects);
    m_timer.arm(std::max(duration(0), nextDeadline(m_follower) - loop::now()));
    for (const follower_effect &effect : effects) {
        std::visit([this](const auto &value) { perform(value); }, effect);
    }
}

void configuration_task::perform(const send_offer &effect)
{
    send(effect.to, offer_message{effect.held});
}

void configuration_task::perform(const send_pull &effect)
{
    send(effect.to, pull_message{effect.held, effect.snapshot});
}

void configuration_task::perform(const send_deltas &effect)
{
    const history_digest &from = effect.deltas.front().previousDigest;
    const history_digest &to = effect.deltas.back().digest;
    if (m_encodedDeltas.body.empty() || m_encodedDeltas.from != from || m_encodedDeltas.to != to) {
        m_encodedDeltas = {from, to, encodeFollowerMessage(messageOf(effect.deltas))};
    }
    m_options.send(effect.to, {.kind = channel::Configuration, .body = m_encodedDeltas.body});
}

void configuration_task::perform(const send_snapshot_part &effect)
{
    const held_revision held{m_follower.current->atRevision, m_follower.digest};
    if (m_encodedSnapshot.held != held) {
        m_encodedSnapshot.held = held;
        m_encodedSnapshot.bytes = encodeConfiguration(*m_follower.current);
        m_encodedSnapshot.totalBytes = m_encodedSnapshot.bytes.size();
        m_encodedSnapshot.seal = snapshotSeal(m_options.secret, held, m_encodedSnapshot.bytes);
    }
    const std::size_t offset = std::min<std::size_t>(effect.offset, m_encodedSnapshot.bytes.size());
    const std::span rest = std::span<const std::byte>(m_encodedSnapshot.bytes).subspan(offset);
    const std::span bytes = rest.first(std::min(rest.size(), snapshotPartBytes));
    send(effect.to,
         snapshot_part{
             held, m_encodedSnapshot.seal, m_encodedSnapshot.totalBytes, offset, {bytes.begin(), bytes.end()}});
}

void configuration_task::perform(const verify_snapshot &effect)
{
    const snapshot_part &whole = effect.whole;
    if (snapshotSeal(m_options.secret, whole.held, whole.bytes) != whole.seal) {
        throw coordination_error(result_code::MessageMalformed, "the seal of a configuration snapshot is wrong");
    }
    auto value = std::make_shared<const configuration>(decodeConfiguration(whole.bytes));
    if (value->atRevision == whole.held.atRevision) {
        stepFollower(snapshot_verified{std::move(value), whole.held.digest});
    }
}

void configuration_task::perform(const revision_in_force &effect)
{
    LOG(INFO) << "configuration revision " << effect.value->atRevision.value << " is in force";
    m_options.subscriber(effect.value);
}

confirmation_host_options configuration_task::confirmationOptions()
{
    return {.vmName = m_options.vmName,
            .self = m_options.self,
            .isControl = m_options.isControl,
            .send = [this](vm_id to, const follower_message &message) { send(to, message); },
            .sendToControls =
                [this](const follower_message &message) {
                    m_options.sendToControls({.kind = channel::Configuration, .body = encodeFollowerMessage(message)});
                }};
}

void configuration_task::tick()
{
    if (m_follower.peers.empty() && m_options.sendToSeeds && loop::now() >= m_follower.offerDue) {
        const offer_message offer{{m_follower.current->atRevision, m_follower.digest}};
        m_options.sendToSeeds({.kind = channel::Configuration, .body = encodeFollowerMessage(offer)});
    }
    stepFollower(follower_tick{});
}

void configuration_task::addLearnedPeer(vm_id peer)
{
    if (m_membershipKnown || std::ranges::find(m_learnedPeers, peer) != m_learnedPeers.end()) {
        return;
    }
    if (m_learnedPeers.size() >= maxLearnedPeers) {
        m_learnedPeers.erase(m_learnedPeers.begin());
    }
    m_learnedPeers.push_back(peer);
    stepFollower(peers_changed{m_learnedPeers});
}

bool configuration_task::hasValidDigest(const configuration_delta &delta) const
{
    return nextDigest(m_options.secret, delta.previousDigest, delta.atRevision, delta.changes) == delta.digest;
}

void configuration_task::send(vm_id to, const follower_message &message) const
{
    m_options.send(to, {.kind = channel::Configuration, .body = encodeFollowerMessage(message)});
}

} // namespace guavafront
