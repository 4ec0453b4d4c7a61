#include "daemon/control/control_task.h"

#include <guavafront/coordination/replication/absent_voters.h>

#include <glog/logging.h>

#include <utility>

namespace guavafront
{

namespace
{

/// Minimum time between two proposals to remove a member.
constexpr duration minRemovalInterval = std::chrono::milliseconds(500);

} // namespace

/// Proposes a waiting VM as a learner; a proposal that fails is made again later.
void control_task::admitWaitingVm()
{
    const auto admitted = vmToAdmit(m_host.state(), knownControlVms(), loop::now());
    if (!admitted) {
        return;
    }
    if (admitted != std::exchange(m_loggedAdmission, admitted)) {
        LOG(INFO) << "control: VM " << describeVm(m_host.state(), knownControlVms(), admitted->id)
                  << " joins as a learner"
                  << (admitted->replaces.value == 0
                          ? ""
                          : " in place of VM " + describeVm(m_host.state(), knownControlVms(), admitted->replaces));
    }
    m_host.post(learner_proposed{addPending({}), admitted->id, admitted->replaces});
}

/// Proposes to remove a member that is presumed lost; a removal that fails is proposed again later.
void control_task::removeLostMember()
{
    const instant now = loop::now();
    if (now < m_nextRemovalAt) {
        return;
    }
    if (const auto lost = memberToRemove(m_host.state(), knownControlVms(), now)) {
        LOG(WARNING) << "control: VM " << describeVm(m_host.state(), knownControlVms(), *lost)
                     << " is presumed lost; proposing to remove it";
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
    LOG(INFO) << "control: " << membersLine(m_host.state(), knownControlVms());
}

} // namespace guavafront
