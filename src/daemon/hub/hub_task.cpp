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
    if (received.message.stage == load_stage::Reported) {
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
    if (const auto own = takeChangedLoads(m_ownLoads, now); !own.empty()) {
        m_peers.post(
            send_to_roles{ControlRole, {.kind = channel::Loads, .body = encodeLoads({load_stage::Gathered, own})}});
    }
    std::erase_if(m_reporters, [now](const auto &each) { return each.second + reporterTimeout < now; });
    const auto all = takeChangedLoads(m_fleetLoads, now);
    if (all.empty() || m_reporters.empty()) {
        return;
    }
    send_to_vms published{.message = {.kind = channel::Loads, .body = encodeLoads({load_stage::Published, all})}};
    for (const auto &[vm, reportedAt] : m_reporters) {
        published.to.push_back(vm);
    }
    m_peers.post(std::move(published));
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
