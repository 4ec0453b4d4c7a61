#pragma once

#include "daemon/configuration/configuration_message.h"
#include "daemon/control/control_log.h"
#include "daemon/control/control_message.h"
#include "daemon/control/control_state.h"
#include "daemon/control/replica_host.h"
#include "daemon/metrics/daemon_counters.h"
#include "runtime/mailbox.h"
#include "runtime/timer.h"

#include <guavafront/coordination/replication/absent_voters.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavafront
{

/// Proof that this VM was the leader, confirmed by a quorum, at a point in time.
struct leadership_proof {
    term leaderTerm; ///< Term of the leader.
    std::uint64_t round = 0; ///< Number of the heartbeat that a quorum answered; no two proofs of a term share one.
    revision accepted; ///< Highest accepted revision.
    instant asOf; ///< When the leader sent the heartbeat that a quorum answered.
};

/// Settings and callbacks of the control task.
struct control_task_options {
    std::string dataFolder; ///< Folder of the replica's store.
    vm_id freshIdentity; ///< Identity of this VM if the data folder is empty.
    fleet_secret secret{}; ///< Key of the history digests.
    replica_options replica; ///< Times and sizes of the replica; `self` is set by the task.
    /// How long the times of a revoked evacuation are kept: well beyond the time for which operators resend an order,
    /// and until restarted entry VMs have learned of the revocation. Afterwards VMs of earlier builds can read the
    /// configuration again.
    duration revokedRetention = std::chrono::seconds(60);
    std::function<void(vm_id, envelope)> send; ///< Sends to another VM; the message may be lost.
    std::function<void(const leadership_proof &)> onLeadershipProof; ///< Called with each new proof; may be empty.
    std::function<void(const claims_view &)> onClaimsViewAgreed; ///< Called with each agreed view; may be empty.
    std::function<void(const membership &)> onMembersChanged; ///< Called with each membership; may be empty.
};

/// Runs this VM's replica of the control cluster's log. Changes of operators are proposed to the log; configurations
/// that result from committed changes are posted to the configuration task.
class control_task
{
public:
    /// Opens the store and starts the replica. Throws coordination_error if the store can't be opened or read.
    control_task(loop &owner, control_task_options options, mailbox<control_message> &inbox,
                 mailbox<configuration_message> &configurations, daemon_counters &counters);

private:
    /// Which of the pending proposals fail.
    enum class failed_proposals : std::uint8_t {
        Appended, ///< Those in the log, which another leader may commit or replace.
        All, ///< All that haven't been answered.
    };
    using answer_handler = std::function<void(const change_answer &)>;

    /// A proposal whose outcome isn't known yet.
    struct pending_proposal {
        std::vector<answer_handler> answers; ///< Each is called once with the outcome; empty if nobody waits for it.
        std::optional<change_id> id; ///< ID of a change that was encoded by another task; absent for others.
        std::optional<term> appendedInTerm; ///< Term of the proposal's log record; absent until it is appended.
    };

    /// The outcome of a change that an operator isn't told yet.
    struct decided_change {
        std::vector<answer_handler> answers; ///< Each is called once with the outcome.
        change_answer outcome; ///< The outcome.
    };

    /// A status request that waits until a quorum confirms that this VM is still the leader.
    struct pending_read {
        std::function<void(const control_status &)> answer; ///< Called once with the status.
        instant receivedAt; ///< When the request was received.
    };

    void handle(const change_submitted &message);
    void handle(const change_announced &message);
    void handle(const encoded_change_submitted &message);
    void handle(const status_requested &message);
    void handle(const confirmed_status_requested &message);
    void handle(const replacement_submitted &message);
    void handle(const replication_from_peer &message);
    void handle(const live_control_vms_changed &message);
    void handle(const live_claims_members_changed &message);
    void handle(const accepted_configuration_requested &message);
    void handle(const members_requested &message);

    replica_host_callbacks hostCallbacks();
    void apply(const log_record &record);
    void load(const log_snapshot &snapshot);
    void completeProposal(std::uint64_t ticket, const change_answer &answer);
    void answerDecided();
    void completeProposalAt(const log_record &record, const change_answer &answer);
    void recordAppendedProposal(const proposal_appended &appended);
    void handleRoleChange(const role_changed &role);
    void failProposals(failed_proposals concerned);
    void publishAccepted();
    void publishLeadershipProof();
    void answerConfirmedReads(instant confirmed);
    void failPendingReads();
    control_status makeStatus(bool isLeader);
    std::string nextRedirectAddress();
    std::string addressOf(vm_id vm) const;
    control_vms_view knownControlVms() const;
    void admitWaitingVm();
    void removeLostMember();
    void reportMembership() const;
    void logMembership();
    void watchLeader();
    void logProvenRevision(const leadership_proof &proof);
    void setGauges();
    void noteStandstill();
    void watchPeriodically();
    void reportRefusedVote(const vote_refused &refused);
    void reportFailedRound(const election_failed &failed);
    void reportLostQuorum(const quorum_lost &lost);
    void reportLostLeader(const leader_lost &lost);
    void reportUnconfirmedReads(duration limit);
    void proposeClaimsView();
    void publishClaimsView();
    void stampOrders(change_request &request) const;
    void reportEvacuations();
    void forgetRevokedEvacuations();
    std::uint64_t addPending(answer_handler answer);
    pending_proposal *findPending(const change_id &id);

    control_task_options m_options; ///< Settings and callbacks.
    mailbox<configuration_message> &m_configurations; ///< Inbox of the configuration task; not owned.
    daemon_counters &m_counters; ///< Daemon's counters; not owned.
    control_log m_log; ///< What was noticed and logged of leaders and votes.
    control_state m_state; ///< Replicated state after the last applied record.
    std::shared_ptr<const configuration> m_accepted; ///< Copy of the configuration in m_state; never null.
    std::vector<configuration_delta> m_unpublishedDeltas; ///< Revisions not yet posted to the configuration task.
    bool m_deltasIncomplete = false; ///< m_unpublishedDeltas lacks revisions, so they must not be posted.
    bool m_publicationDue = false; ///< m_accepted hasn't been posted to the configuration task yet.
    std::unordered_map<std::uint64_t, pending_proposal> m_pending; ///< Proposals without an outcome, by ticket.
    std::unordered_map<std::uint64_t, std::uint64_t> m_ticketByIndex; ///< Tickets of appended proposals by log index.
    std::vector<decided_change> m_decided; ///< Outcomes of the records that the current slice applied, in order.
    std::uint64_t m_lastTicket = 0; ///< Last ticket that was assigned.
    std::vector<vm_id> m_liveControlVms; ///< Live control VMs without this one.
    std::unordered_map<vm_id, std::string> m_addresses; ///< Address of each control VM that was ever seen.
    std::uint64_t m_redirects = 0; ///< Number of redirects that were looked up.
    std::deque<pending_read> m_pendingReads; ///< Status requests that wait for confirmation, oldest first.
    std::vector<claims_member> m_claimsMembers; ///< Live VMs that can keep claims, ordered by id.
    instant m_claimsViewProposedAt; ///< When this VM last proposed a claims view.
    view_epoch m_publishedClaimsEpoch; ///< Epoch of the newest claims view given to onClaimsViewAgreed.
    std::vector<evacuation> m_reportedEvacuations; ///< Evacuations of m_accepted, as last logged.
    instant m_evacuationsReportedAt; ///< When m_reportedEvacuations last changed.
    instant m_lastProofAt; ///< asOf of the last leadership proof.
    revision m_provenRevision; ///< Revision that the last leadership proof named.
    instant m_watchDue; ///< When watchPeriodically() is due; the epoch before its first call.
    instant m_nextRemovalAt; ///< No member is removed before this time.
    membership m_loggedMembers; ///< Membership that was last logged.
    std::optional<admission> m_loggedAdmission; ///< Admission that was last logged.
    timer m_readTimer; ///< Fails the pending reads if no quorum confirms them in time.
    timer m_watchTimer; ///< Calls watchPeriodically.
    replica_host m_host; ///< Runs the replica on its store.
    mailbox_attachment<control_message> m_attachment;
};

} // namespace guavafront
