#pragma once

#include "daemon/configuration/configuration_message.h"
#include "daemon/control/control_message.h"
#include "daemon/control/control_state.h"
#include "daemon/control/replica_host.h"
#include "runtime/mailbox.h"
#include "runtime/timer.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavafront
{

/// The leader's proof that it led with a quorum at a time.
struct leadership_proof {
    term leaderTerm; ///< Its term.
    std::uint64_t round = 0; ///< Goes up within a term.
    revision accepted; ///< Highest accepted revision.
    instant asOf; ///< When it sent the heartbeat that a quorum has answered.
};

/// Settings and receivers of the control task.
struct control_task_options {
    std::string dataFolder; ///< Of the replica's store.
    vm_id freshIdentity; ///< For an empty data folder.
    fleet_secret secret{}; ///< Keys the digests of the history.
    replica_options replica; ///< Times and sizes.
    std::function<void(vm_id, envelope)> send; ///< Sends to another VM; may lose.
    std::function<void(const leadership_proof &)> onLeadershipProof; ///< Called for each new proof; may be empty.
    std::function<void(const claims_view &)> onClaimsViewAgreed; ///< Called for each agreed view; may be empty.
};

/// Hosts this VM's replica of the control's log: operators' changes go in, accepted configurations come out.
class control_task
{
public:
    /// Opens the store. Throws coordination_error.
    control_task(loop &owner, control_task_options options, mailbox<control_message> &inbox,
                 mailbox<configuration_message> &configurations);

private:
    using answer_handler = std::function<void(const change_answer &)>;

    /// A proposal on its way through the log.
    struct pending_proposal {
        answer_handler answer; ///< Called once.
        std::optional<term> appendedInTerm; ///< Once it is in the log.
    };

    /// A question that waits for a quorum to confirm this leader.
    struct pending_read {
        std::function<void(const control_status &)> answer; ///< Called once.
        instant receivedAt; ///< When it came.
    };

    void handle(const change_submitted &message);
    void handle(const status_requested &message) const;
    void handle(const confirmed_status_requested &message);
    void handle(const replacement_submitted &message);
    void handle(const replication_from_peer &message);
    void handle(const live_control_vms_changed &message);
    void handle(const live_claims_members_changed &message);
    void handle(const accepted_configuration_requested &message);

    replica_host_callbacks hostCallbacks();
    void apply(const log_record &record);
    void load(const log_snapshot &snapshot);
    void completeProposal(std::uint64_t ticket, const change_answer &answer);
    void completeProposalAt(const log_record &record, const change_answer &answer);
    void recordAppendedProposal(const proposal_appended &appended);
    void handleRoleChange(const role_changed &role);
    void failAppendedProposals();
    void publishAccepted();
    void publishLeadershipProof();
    void answerConfirmedReads(instant confirmed);
    void failPendingReads();
    control_status makeStatus(bool isLeader) const;
    std::string addressOf(vm_id vm) const;
    void admitWaitingVm();
    void removeAbsentVoter();
    void proposeClaimsView();
    void publishClaimsView();
    std::vector<vm_id> waitingVms() const;
    std::uint64_t addPending(answer_handler answer);

    control_task_options m_options; ///< As constructed.
    mailbox<configuration_message> &m_configurations; ///< Not owned.
    control_state m_state; ///< The replicated state as of the last applied record.
    std::shared_ptr<const configuration> m_accepted; ///< Copy of its configuration; never null.
    std::vector<configuration_delta> m_unpublishedDeltas; ///< Of the revisions that the followers weren't told yet.
    bool m_deltasIncomplete = false; ///< The deltas don't lead to the newest revision.
    bool m_publicationDue = false; ///< There is a newer revision than the followers were told.
    std::unordered_map<std::uint64_t, pending_proposal> m_pending; ///< By ticket.
    std::unordered_map<std::uint64_t, std::uint64_t> m_ticketByIndex; ///< Ticket by log index.
    std::uint64_t m_lastTicket = 0; ///< Last ticket given.
    std::vector<vm_id> m_liveControlVms; ///< Control VMs that are live.
    std::unordered_map<vm_id, std::string> m_addresses; ///< Of the links of control VMs seen so far.
    std::deque<pending_read> m_pendingReads; ///< Oldest first.
    std::vector<claims_member> m_claimsMembers; ///< Live VMs that can keep claims, ordered by id.
    instant m_claimsViewProposedAt; ///< When this VM last proposed a view of them.
    view_epoch m_publishedClaimsEpoch; ///< Highest view that was passed on.
    instant m_lastProofAt; ///< Time of the last proof.
    instant m_nextRemovalAt; ///< No voter is removed before.
    timer m_readTimer; ///< Ends questions that no quorum confirms.
    replica_host m_host; ///< The replica.
    mailbox_attachment<control_message> m_attachment; ///< To the inbox.
};

} // namespace guavafront
