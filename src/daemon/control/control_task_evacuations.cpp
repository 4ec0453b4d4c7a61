#include "daemon/control/control_task.h"

#include "wire/configuration_codec.h"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <xxhash.h>

namespace guavafront
{

namespace
{

std::uint64_t unixMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace

/// Sets the time of evacuation orders, so that it is part of the proposal and the same for each replica.
void control_task::stampOrders(change_request &request) const
{
    for (change &edit : request.changes) {
        if (auto *order = std::get_if<evacuation_order>(&edit)) {
            order->orderedMs = unixMs();
        }
    }
}

/// Logs and exports the evacuations of the accepted configuration when they have changed.
void control_task::reportEvacuations()
{
    const std::vector<evacuation> &now = m_accepted->evacuations;
    if (now == m_reportedEvacuations) {
        return;
    }
    for (const evacuation &each : now) {
        const evacuation *before = findEvacuation(m_reportedEvacuations, each.dataCentre);
        if (!before || *before != each) {
            LOG(INFO) << "control: data centre " << each.dataCentre
                      << (each.inForce ? " is evacuated" : " is open again") << " at revision "
                      << m_accepted->atRevision.value << ", ordered at "
                      << (each.inForce ? each.startedMs : each.endedMs) << " ms";
            m_counters.setEvacuation(each);
        }
    }
    m_reportedEvacuations = now;
    m_evacuationsReportedAt = loop::now();
}

/// Proposes to forget revoked evacuations once none is in force and nothing was ordered for a while.
void control_task::forgetRevokedEvacuations()
{
    reportEvacuations();
    const std::vector<evacuation> &known = m_accepted->evacuations;
    const bool settled =
        known == m_reportedEvacuations && loop::now() >= m_evacuationsReportedAt + m_options.revokedRetention;
    const bool noneInForce = std::ranges::none_of(known, &evacuation::inForce);
    if (m_host.state().role != replica_role::Leader || known.empty() || !settled || !noneInForce) {
        return;
    }
    for (const evacuation &each : known) {
        // The same ID until the state changes, so that the proposal is applied at most once.
        const change_id id{m_accepted->atRevision.value, XXH3_64bits(each.dataCentre.data(), each.dataCentre.size())};
        const change_request request{.id = id,
                                     .expectedRevision = {},
                                     .changes = {evacuation_order{each.dataCentre, evacuation_action::Forget, 0}}};
        const change_proposal proposal = makeProposal({operator_role::Operator, {}}, request);
        m_host.post(command_proposed{addPending({}), encodeProposal(proposal)});
    }
}

} // namespace guavafront
