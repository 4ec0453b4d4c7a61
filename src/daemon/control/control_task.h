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
    std::function<void(const leadership_proof &)> proved; ///< Called for each new proof; may be empty.
    std::function<void(const claims_view &)> claimsAgreed; ///< Called for each agreed view; may be empty.
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
        std::optional<term> at; ///< Once it is in the log.
    };

    /// A question that waits for a quorum to confirm this leader.
    struct pending_reading {
        std::function<void(const control_status &)> answer; ///< Called once.
        instant asked; ///< When it came.
    };

    void handle(const change_submitted &message);
    void handle(const status_requested &message) const;
    void handle(const current_requested &message);
    void handle(const replacement_submitted &message);
    void handle(const replication_from_peer &message);
    void handle(const control_vms_seen &message);
    void handle(const claims_members_seen &message);
    void handle(const accepted_wanted &message);

    replica_host_events hostEvents();
    void apply(const log_record &record);
    void load(const log_snapshot &snapshot);
    void settle(std::uint64_t ticket, const change_answer &answer);
    void settleAt(const log_record &record, const change_answer &answer);
    void noteAppended(const proposal_appended &appended);
    void noteRole(const role_changed &role);
    void failAll();
    void publish();
    void prove();
    void answerReadings(instant confirmed);
    void giveUpReadings();
    control_status statusWith(bool leads) const;
    std::string addressOf(vm_id vm) const;
    void admitWaiting();
    void removeGone();
    void proposeClaimsView();
    void passOnClaimsView();
    std::vector<vm_id> waitingVms() const;
    std::uint64_t addPending(answer_handler answer);

    control_task_options m_options; ///< As constructed.
    mailbox<configuration_message> &m_configurations; ///< Not owned.
    control_state m_state; ///< The replicated state as of the last applied record.
    std::shared_ptr<const configuration> m_accepted; ///< Copy of its configuration; never null.
    std::vector<configuration_delta> m_unpublished; ///< Of the revisions that the followers weren't told yet.
    bool m_publishWhole = false; ///< The deltas don't lead to the newest revision.
    bool m_publishDue = false; ///< There is a newer revision than the followers were told.
    std::unordered_map<std::uint64_t, pending_proposal> m_pending; ///< By ticket.
    std::unordered_map<std::uint64_t, std::uint64_t> m_ticketAt; ///< Ticket by log index.
    std::uint64_t m_lastTicket = 0; ///< Last ticket given.
    std::vector<vm_id> m_seen; ///< Control VMs that are live.
    std::unordered_map<vm_id, std::string> m_addresses; ///< Of the links of control VMs seen so far.
    std::deque<pending_reading> m_readings; ///< Oldest first.
    std::vector<claims_member> m_claimsMembers; ///< Live VMs that can keep claims, ordered by id.
    instant m_claimsProposed; ///< When this VM last proposed a view of them.
    view_epoch m_claimsPassedOn; ///< Highest view that was passed on.
    instant m_lastProof; ///< Time of the last proof.
    instant m_removalDue; ///< No voter is removed before.
    timer m_readingLimit; ///< Ends questions that no quorum confirms.
    replica_host m_host; ///< The replica.
    mailbox_attachment<control_message> m_attachment; ///< To the inbox.
};

} // namespace guavafront
