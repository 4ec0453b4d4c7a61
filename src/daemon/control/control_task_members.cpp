#include "daemon/control/control_task.h"

#include <guavafront/coordination/replication/absent_voters.h>

#include <glog/logging.h>

#include <algorithm>
#include <iterator>
#include <sstream>

namespace guavafront
{

namespace
{

/// Minimum time between two proposals to remove a member.
constexpr duration minRemovalInterval = std::chrono::milliseconds(500);

} // namespace

void control_task::admitWaitingVm()
{
    const replica &replica = m_host.state();
    const bool isStable = replica.membersIndex <= replica.commitIndex && replica.termStartIndex <= replica.commitIndex;
    const bool hasVacancy = replica.members.members.size() < replica.options.targetVoters;
    if (replica.role != replica_role::Leader || !isStable || !hasVacancy) {
        return; // A VM joins a full cluster only when an operator requests a replacement.
    }
    const std::vector<vm_id> waiting = waitingVms();
    if (!waiting.empty() && isCurrent(replica, loop::now())) {
        m_host.post(learner_proposed{addPending({}), waiting.front(),
                                     memberToReplace(replica, {m_liveControlVms, m_addresses}, waiting.front())});
    }
}

/// Proposes to remove a member that is presumed lost; a removal that fails is proposed again later.
void control_task::removeLostMember()
{
    const instant now = loop::now();
    if (now < m_nextRemovalAt) {
        return;
    }
    if (const auto lost = memberToRemove(m_host.state(), {m_liveControlVms, m_addresses}, now)) {
        LOG(WARNING) << "control: VM " << std::hex << lost->value << " is presumed lost; proposing to remove it";
        m_nextRemovalAt = now + minRemovalInterval;
        m_host.post(removal_proposed{addPending({}), *lost, true});
    }
}

void control_task::handle(const members_requested & /*message*/)
{
    reportMembership();
}

void control_task::reportMembership() const
{
    if (m_options.onMembersChanged) {
        m_options.onMembersChanged(m_host.state().members);
    }
}

/// Reports and logs who takes part in the log, so that operators see which VMs a quorum is counted from.
void control_task::logMembership()
{
    const membership &members = m_host.state().members;
    if (members == m_loggedMembers) {
        return;
    }
    m_loggedMembers = members;
    reportMembership();
    std::ostringstream text;
    for (const member &each : members.members) {
        text << (each.role == voting_role::Voter ? " voter " : " learner ") << std::hex << each.id.value;
    }
    LOG(INFO) << "control: quorum of " << quorumSize(members) << " among" << text.str();
}

std::vector<vm_id> control_task::waitingVms() const
{
    std::vector<vm_id> waiting;
    std::ranges::copy_if(m_liveControlVms, std::back_inserter(waiting), [this](vm_id vm) {
        return findMember(m_host.state().members, vm) == nullptr && vm != m_host.state().options.self;
    });
    return waiting;
}

} // namespace guavafront
