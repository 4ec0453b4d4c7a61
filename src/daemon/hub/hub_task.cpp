#include "daemon/hub/hub_task.h"

#include "wire/evidence_codec.h"

#include <utility>

namespace guavafront
{

namespace
{

/// Delay from the first received loads to the publication of the sums. A request runs several times as long, so the
/// published sums are still close to the present loads.
constexpr duration publishPeriod = std::chrono::milliseconds(100);
/// An entry VM that hasn't reported for this long no longer gets the published sums.
constexpr duration reporterTimeout = std::chrono::seconds(5);

} // namespace

hub_task::hub_task(loop &owner, const fleet_vm &self, mailbox<hub_message> &inbox, mailbox<peers_message> &peers)
    : m_peers(peers)
    , m_evidence{.self = self}
    , m_loadsTimer(owner, [this] { publishLoads(); })
    , m_evidenceTimer(owner, [this] { publishEvidence(); })
    , m_attachment(inbox, owner, [this](const hub_message &message) {
        std::visit([this](const auto &each) { handle(each); }, message);
    })
{
    m_peers.post(resend_state{});
}

void hub_task::handle(const loads_received &received)
{
    const instant now = loop::now();
    recordLoads(m_fleetLoads, received.from, received.message.loads, now);
    recordSamples(m_fleetWork, received.message.samples, now);
    if (received.message.stage == load_stage::Reported) {
        if (received.withWork) {
            m_workReporters[received.from] = now;
        }
        m_ownSamples.insert(m_ownSamples.end(), received.message.samples.begin(), received.message.samples.end());
        recordLoads(m_ownLoads, received.from, received.message.loads, now);
        m_reporters[received.from] = now;
    }
    if (!m_loadsTimerArmed) {
        m_loadsTimerArmed = true;
        m_loadsTimer.arm(publishPeriod);
    }
}

void hub_task::publishLoads()
{
    m_loadsTimerArmed = false;
    const instant now = loop::now();
    sendToHubs(now);
    const auto isOld = [now](const auto &each) {
        return each.second + reporterTimeout < now;
    };
    std::erase_if(m_reporters, isOld);
    std::erase_if(m_workReporters, isOld);
    const load_message all{.stage = load_stage::Published,
                           .loads = takeChangedLoads(m_fleetLoads, now),
                           .samples = {},
                           .estimates = takeDueEstimates(m_fleetWork, now)};
    if (all.loads.empty() && all.estimates.empty()) {
        return;
    }
    send_to_vms plain{.message = {.kind = channel::Loads, .body = encodeLoads(all)}};
    send_to_vms withWork{.message = {.kind = channel::Loads, .version = workVersion, .body = encodeWork(all)}};
    for (const auto &[vm, reportedAt] : m_reporters) {
        (m_workReporters.contains(vm) ? withWork : plain).to.push_back(vm);
    }
    for (send_to_vms *each : {&plain, &withWork}) {
        if (!each->to.empty()) {
            m_peers.post(std::move(*each));
        }
    }
}

void hub_task::sendToHubs(instant now)
{
    load_message own{
        .stage = load_stage::Gathered, .loads = takeChangedLoads(m_ownLoads, now), .samples = {}, .estimates = {}};
    if (!own.loads.empty()) {
        m_peers.post(send_to_roles{ControlRole, {.kind = channel::Loads, .body = encodeLoads(own)}});
    }
    std::erase_if(own.loads, [](const instance_load &each) { return each.work == duration::zero(); });
    own.samples = std::exchange(m_ownSamples, {});
    if (!own.loads.empty() || !own.samples.empty()) {
        m_peers.post(
            send_to_roles{ControlRole, {.kind = channel::Loads, .version = workVersion, .body = encodeWork(own)}});
    }
}

void hub_task::handle(const evidence_from_peer &message)
{
    const instant now = loop::now();
    const bool isArmed = m_evidence.publishAt != instant::max();
    send(receiveEvidence(m_evidence, message.message, now));
    if (!isArmed) {
        m_evidenceTimer.arm(m_evidence.publishAt - now);
    }
}

void hub_task::handle(const hub_fleet_changed &message)
{
    updateFleet(m_evidence, message.others);
}

void hub_task::publishEvidence()
{
    const instant now = loop::now();
    for (const send_evidence &each : takeDueEvidence(m_evidence, now)) {
        send(each);
    }
    if (m_evidence.publishAt != instant::max()) {
        m_evidenceTimer.arm(m_evidence.publishAt - now);
    }
}

void hub_task::send(const send_evidence &effect)
{
    if (!effect.to.empty()) {
        m_peers.post(send_to_vms{
            effect.to, {.kind = channel::Health, .version = evidenceVersion, .body = encodeEvidence(effect.message)}});
    }
}

} // namespace guavafront
