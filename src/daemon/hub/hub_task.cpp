#include "daemon/hub/hub_task.h"

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

hub_task::hub_task(loop &owner, mailbox<loads_received> &inbox, mailbox<peers_message> &peers)
    : m_peers(peers)
    , m_publishTimer(owner, [this] { publish(); })
    , m_attachment(inbox, owner, [this](const loads_received &received) { receive(received); })
{
}

void hub_task::receive(const loads_received &received)
{
    const instant now = loop::now();
    recordLoads(m_fleetLoads, received.from, received.message.loads, now);
    if (received.message.stage == load_stage::Reported) {
        recordLoads(m_ownLoads, received.from, received.message.loads, now);
        m_reporters[received.from] = now;
    }
    if (!m_publishTimerArmed) {
        m_publishTimerArmed = true;
        m_publishTimer.arm(publishPeriod);
    }
}

void hub_task::publish()
{
    m_publishTimerArmed = false;
    const instant now = loop::now();
    if (const auto own = takeChangedLoads(m_ownLoads, now); !own.empty()) {
        m_peers.post(
            send_to_roles{ControlRole, {.kind = channel::Loads, .body = encodeLoads({load_stage::Gathered, own})}});
    }
    std::erase_if(m_reporters, [now](const auto &each) { return each.second + reporterTimeout < now; });
    const auto all = takeChangedLoads(m_fleetLoads, now);
    for (const auto &[vm, reportedAt] : m_reporters) {
        if (!all.empty()) {
            send(vm, load_stage::Published, all);
        }
    }
}

void hub_task::send(vm_id to, load_stage stage, const std::vector<instance_load> &loads)
{
    m_peers.post(send_to_vm{to, {.kind = channel::Loads, .body = encodeLoads({stage, loads})}});
}

} // namespace guavafront
