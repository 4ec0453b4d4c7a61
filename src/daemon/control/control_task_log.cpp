#include "daemon/control/control_task.h"

#include <glog/logging.h>

namespace guavafront
{

namespace
{

/// Interval at which the gauges are set and a wait for a place or a leader is noticed.
constexpr duration watchInterval = std::chrono::seconds(1);
/// The task is said to have stood still when the watch is this late.
constexpr duration noticedDelay = std::chrono::milliseconds(200);

void logWarning(const std::optional<std::string> &line)
{
    if (line) {
        LOG(WARNING) << "control: " << *line;
    }
}

} // namespace

/// Logs when a leader is known again.
void control_task::watchLeader()
{
    if (const std::optional<std::string> line = noteLeader(m_log, m_host.state(), knownControlVms(), loop::now())) {
        LOG(INFO) << "control: " << *line;
    }
}

/// Logs the first proof that names a revision. Entry VMs log the number of the proof by which they accept a key.
void control_task::logProvenRevision(const leadership_proof &proof)
{
    if (proof.accepted == m_provenRevision) {
        return;
    }
    m_provenRevision = proof.accepted;
    const duration age = loop::now() - proof.asOf;
    LOG(INFO) << "control: revision " << proof.accepted.value << " is named by proof " << proof.round << " of term "
              << proof.leaderTerm.value << ", confirmed "
              << std::chrono::duration_cast<std::chrono::milliseconds>(age).count() << " ms ago";
}

void control_task::setGauges()
{
    const replica &replica = m_host.state();
    m_counters.setControlState(
        {.leaderKnown = m_log.leaderKnown,
         .secondsWithoutLeader = std::chrono::duration<double>(timeWithoutLeader(m_log, loop::now())).count(),
         .quorumSize = quorumSize(replica.members),
         .voters = voterCount(replica.members),
         .members = replica.members.members.size(),
         .isVoter = isVoter(replica.members, replica.options.self)});
}

/// Logs and counts for how long this task did nothing: a sync of the journal, which has a line of its own, or a process
/// without processor time.
void control_task::noteStandstill()
{
    const instant now = loop::now();
    const duration late = m_watchDue == instant{} ? duration{} : now - m_watchDue;
    m_watchDue = now + watchInterval;
    if (late < noticedDelay) {
        return;
    }
    m_counters.countHeldUp(std::chrono::duration<double>(late).count());
    LOG(WARNING) << "control: this task ran " << std::chrono::duration_cast<std::chrono::milliseconds>(late).count()
                 << " ms late";
}

void control_task::watchPeriodically()
{
    noteStandstill();
    watchLeader();
    setGauges();
    logWarning(outsideLine(m_log, m_host.state(), knownControlVms(), loop::now()));
    forgetRevokedEvacuations();
    m_watchTimer.arm(watchInterval);
}

void control_task::reportRefusedVote(const vote_refused &refused)
{
    m_counters.countVoteRefusal(refusalName(refused.reason));
    logWarning(refusalLine(m_log, m_host.state(), refused, knownControlVms(), loop::now()));
}

void control_task::reportFailedRound(const election_failed &failed)
{
    watchLeader();
    logWarning(failedRoundLine(m_log, m_host.state(), failed, knownControlVms(), loop::now()));
}

void control_task::reportLostQuorum(const quorum_lost &lost)
{
    logWarning(lostQuorumLine(m_host.state(), lost, knownControlVms(), m_pendingReads.size()));
}

void control_task::reportLostLeader(const leader_lost &lost)
{
    logWarning(lostLeaderLine(m_host.state(), lost, knownControlVms()));
}

void control_task::reportUnconfirmedReads(duration limit)
{
    logWarning(
        unconfirmedReadsLine(m_log, m_host.state(), knownControlVms(), m_pendingReads.size(), limit, loop::now()));
}

} // namespace guavafront
