#include "daemon/control/control_task.h"

#include <guavafront/coordination/core/coordination_error.h>
#include <guavafront/coordination/replication/absent_voters.h>

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace guavafront
{

namespace
{

/// Minimum time between two claims views, so that the home VMs under one view have taken over before the next one.
constexpr duration minClaimsViewInterval = std::chrono::seconds(2);
/// Time in which a quorum must confirm a read; less than the second for which an operator waits for an answer.
constexpr duration readTimeout = std::chrono::milliseconds(800);

const char *nameOf(replica_role role)
{
    switch (role) {
    case replica_role::Follower:
        return "follower";
    case replica_role::PreCandidate:
        return "pre-candidate";
    case replica_role::Candidate:
        return "candidate";
    case replica_role::Leader:
        return "leader";
    }
    return "unknown";
}

} // namespace

control_task::control_task(loop &owner, control_task_options options, mailbox<control_message> &inbox,
                           mailbox<configuration_message> &configurations, daemon_counters &counters)
    : m_options(std::move(options))
    , m_configurations(configurations)
    , m_counters(counters)
    , m_log(startControlLog(loop::now()))
    , m_accepted(std::make_shared<const configuration>())
    , m_readTimer(owner,
                  [this] {
                      reportUnconfirmedReads(readTimeout);
                      failPendingReads();
                  })
    , m_watchTimer(owner, [this] { watchPeriodically(); })
    , m_host(owner, m_options.dataFolder, m_options.freshIdentity, m_options.replica, hostCallbacks())
    , m_attachment(inbox, owner, [this](const control_message &message) {
        std::visit([this](const auto &each) { handle(each); }, message);
    })
{
    publishAccepted(); // A snapshot on the disk holds committed state only.
    watchPeriodically();
}

void control_task::handle(const status_requested &message)
{
    const replica &replica = m_host.state();
    message.answer(makeStatus(hasCommittedOwnTerm(replica) && isCurrent(replica, loop::now()) && m_host.isUpToDate()));
}

void control_task::handle(const confirmed_status_requested &message)
{
    if (m_host.state().role != replica_role::Leader) {
        message.answer(makeStatus(false));
        return;
    }
    m_pendingReads.push_back({message.answer, loop::now()});
    m_readTimer.arm(readTimeout);
}

/// Answers the reads that were received before the time at which a quorum confirmed this leader.
void control_task::answerConfirmedReads(instant confirmed)
{
    while (!m_pendingReads.empty() && m_pendingReads.front().receivedAt < confirmed) {
        m_pendingReads.front().answer(makeStatus(true));
        m_pendingReads.pop_front();
    }
}

void control_task::failPendingReads()
{
    for (const pending_read &each : std::exchange(m_pendingReads, {})) {
        each.answer(makeStatus(false));
    }
}

control_status control_task::makeStatus(bool isLeader)
{
    const replica &replica = m_host.state();
    return {.leader = isLeader,
            .self = replica.options.self,
            .leaderVm = replica.leader,
            .redirectAddress = nextRedirectAddress(),
            .members = replica.members,
            .waiting = waitingVms(replica, knownControlVms()),
            .accepted = m_accepted};
}

/// Returns the address of the VM to which the next caller turns for the leader; empty if none is known.
std::string control_task::nextRedirectAddress()
{
    return addressOf(vmTowardsLeader(m_host.state(), knownControlVms(), m_redirects++));
}

std::string control_task::addressOf(vm_id vm) const
{
    const auto found = m_addresses.find(vm);
    return found == m_addresses.end() ? std::string() : found->second;
}

/// Returns a view that is valid until the next live_control_vms_changed.
control_vms_view control_task::knownControlVms() const
{
    return {m_liveControlVms, m_addresses};
}

void control_task::handle(const replacement_submitted &message)
{
    const std::uint64_t ticket = addPending(message.answer);
    if (message.fresh.value == 0) {
        m_host.post(removal_proposed{ticket, message.old});
    } else {
        m_host.post(learner_proposed{ticket, message.fresh, message.old});
    }
}

void control_task::handle(const replication_from_peer &message)
{
    try {
        replication_message decoded = decodeReplicationMessage(message.message.body);
        if (decoded.from == message.from) {
            m_host.post(message_received{std::move(decoded)});
        }
    } catch (const coordination_error &error) {
        LOG(WARNING) << "replication message refused: " << describe(error.code()).name;
    }
}

void control_task::handle(const live_control_vms_changed &message)
{
    m_liveControlVms = message.vms;
    for (std::size_t index = 0; index < message.addresses.size(); ++index) {
        m_addresses[message.vms[index]] = message.addresses[index];
    }
    admitWaitingVm();
}

void control_task::handle(const live_claims_members_changed &message)
{
    m_claimsMembers = message.live;
}

void control_task::handle(const accepted_configuration_requested & /*message*/)
{
    m_publicationDue = true;
    m_deltasIncomplete = true;
    publishAccepted();
}

replica_host_callbacks control_task::hostCallbacks()
{
    return {.send =
                [this](const replication_message &message) {
                    m_options.send(message.to,
                                   {.kind = channel::Replication, .body = encodeReplicationMessage(message)});
                },
            .apply = [this](const log_record &record) { apply(record); },
            .load = [this](const log_snapshot &snapshot) { load(snapshot); },
            .encodeState = [this] { return encodeControlState(m_state); },
            .appended = [this](const proposal_appended &appended) { recordAppendedProposal(appended); },
            .refused =
                [this](const proposal_refused &refused) {
                    // The answer's text is the address of the VM to which the operator can turn.
                    completeProposal(refused.ticket, {refused.code, m_accepted->atRevision, nextRedirectAddress()});
                },
            .roleChanged = [this](const role_changed &role) { handleRoleChange(role); },
            .voteRefused = [this](const vote_refused &refused) { reportRefusedVote(refused); },
            .electionFailed = [this](const election_failed &failed) { reportFailedRound(failed); },
            .quorumLost = [this](const quorum_lost &lost) { reportLostQuorum(lost); },
            .leaderLost = [this](const leader_lost &lost) { reportLostLeader(lost); },
            .applied = [this] { answerDecided(); },
            .flushed =
                [this] {
                    logMembership();
                    watchLeader();
                    reportEvacuations();
                    publishAccepted();
                    publishLeadershipProof();
                },
            .failed =
                [this] {
                    answerDecided();
                    // The effects that tell which proposals were appended are lost, and this task is about to end.
                    failProposals(failed_proposals::All);
                    failPendingReads();
                }};
}

void control_task::apply(const log_record &record)
{
    change_answer answer{result_code::Ok, m_accepted->atRevision, {}};
    if (const auto *stored = std::get_if<command>(&record.content)) {
        applied_command applied = applyCommand(m_state, m_options.secret, stored->payload);
        answer = applied.answer;
        if (applied.accepted) {
            m_accepted = std::make_shared<const configuration>(m_state.log.current);
            m_publicationDue = true;
            m_deltasIncomplete = m_deltasIncomplete || !applied.delta;
        }
        if (applied.delta) {
            m_unpublishedDeltas.push_back(std::move(*applied.delta));
        }
        publishClaimsView();
    }
    completeProposalAt(record, answer);
}

void control_task::load(const log_snapshot &snapshot)
{
    m_state = decodeControlState(snapshot.state);
    m_accepted = std::make_shared<const configuration>(m_state.log.current);
    m_publicationDue = true;
    m_deltasIncomplete = true;
    publishClaimsView();
}

void control_task::handleRoleChange(const role_changed &role)
{
    LOG(INFO) << "control: " << nameOf(role.role) << " in term " << role.inTerm.value << ", leader VM "
              << describeVm(m_host.state(), knownControlVms(), role.leader);
    if (role.role != replica_role::Leader) {
        failProposals(failed_proposals::Appended);
        failPendingReads();
    }
}

/// Posts the newest accepted revision to the configuration task. Called once for a batch of applied records, so that
/// the replay of the log after a restart posts only the last revision.
void control_task::publishAccepted()
{
    if (!std::exchange(m_publicationDue, false)) {
        return;
    }
    auto published = std::make_shared<configuration>(*m_accepted);
    published->document.clear(); // Only operators read the document, and they get it from the control VMs.
    std::vector<configuration_delta> deltas = std::exchange(m_unpublishedDeltas, {});
    if (std::exchange(m_deltasIncomplete, false)) {
        deltas.clear();
    }
    m_configurations.post(configuration_accepted{std::move(published), m_state.digest, std::move(deltas)});
}

void control_task::publishLeadershipProof()
{
    const std::optional<confirmed_heartbeat> confirmed = confirmedHeartbeat(m_host.state());
    if (!confirmed || confirmed->sentAt <= m_lastProofAt) {
        return;
    }
    m_lastProofAt = confirmed->sentAt;
    answerConfirmedReads(confirmed->sentAt);
    const leadership_proof proof{m_host.state().currentTerm, confirmed->round, m_accepted->atRevision,
                                 confirmed->sentAt};
    logProvenRevision(proof);
    if (m_options.onLeadershipProof) {
        m_options.onLeadershipProof(proof);
    }
    admitWaitingVm();
    removeLostMember();
    proposeClaimsView();
}

void control_task::proposeClaimsView()
{
    const instant now = loop::now();
    const claims_view next = nextView(m_state.claims, m_claimsMembers);
    const bool tooSoon = now < m_claimsViewProposedAt + minClaimsViewInterval;
    if (m_host.state().role != replica_role::Leader || tooSoon || next == m_state.claims) {
        return;
    }
    m_claimsViewProposedAt = now;
    m_host.post(command_proposed{addPending({}), encodeClaimsCommand(next)});
}

void control_task::publishClaimsView()
{
    if (m_options.onClaimsViewAgreed && m_state.claims.epoch > m_publishedClaimsEpoch) {
        m_publishedClaimsEpoch = m_state.claims.epoch;
        LOG(INFO) << "control: agreed on claims view " << m_publishedClaimsEpoch.value << " with "
                  << m_state.claims.members.size() << " members";
        m_options.onClaimsViewAgreed(m_state.claims);
    }
}

} // namespace guavafront
