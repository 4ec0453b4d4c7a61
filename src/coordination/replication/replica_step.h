#pragma once

#include <guavafront/coordination/replication/replica.h>

#include <utility>
#include <vector>

namespace guavafront
{

/// Working state of one call of step(): the replica, the arguments of the call, and the effects so far, grouped by when
/// the host may perform them.
struct replica_step {
    replica &self; ///< Replica that handles the event.
    instant now; ///< Time of the step.
    std::uint64_t random; ///< Random number of the step, uniform over 64 bits.
    std::uint64_t messageRound; ///< Heartbeat round of the message that is being handled; 0 for other events.
    std::vector<replica_effect> writes; ///< Writes to the store, in order.
    std::vector<replica_effect> beforeSync; ///< Messages of the leader that needn't wait for the sync of the writes:
                                            ///< followers write in parallel (Ongaro's thesis, section 10.2.1).
    std::vector<replica_effect> afterSync; ///< Effects that wait for the sync of the writes.
};

// election.cpp

/// Becomes a follower of leader (0 when not known) in a term that isn't lower than the current one.
void becomeFollower(replica_step &step, term newTerm, vm_id leader);
/// Becomes a pre-candidate, which asks the voters whether they would elect this replica. Reports the loss of the leader
/// that a follower had.
void startPreVote(replica_step &step);
/// Makes a leader a follower, and reports who was silent, when it hasn't got answers of a quorum within the leader
/// timeout. One that stood still has that time once more.
void checkQuorum(replica_step &step);
/// Sets a new election deadline: the timeout and a random time of up to the same length, so that elections seldom
/// collide.
void resetElectionDeadline(replica_step &step);
/// Puts an election deadline off that passed while this replica stood still, once, so that it first reads what a leader
/// sent meanwhile. Returns whether it did.
bool extendElectionDeadline(replica_step &step);

/// Returns whether a quorum answered this leader, or this follower heard its leader, within the timeout.
bool isLeaderLive(const replica &self, instant now, duration timeout);
/// Lets a candidate wait for answers from the sync of its own vote on, after which its requests leave.
void startWaitForVotes(replica_step &step, std::uint64_t synced);
/// Handles a vote or pre-vote request of any term.
void handleVoteRequest(replica_step &step, const replication_message &message, const vote_request &request);
/// Reports a vote or pre-vote request that this replica refuses.
void reportRefusal(replica_step &step, const replication_message &message, const vote_request &request,
                   vote_refusal reason);
/// Notes an answer of any term that refuses the vote or pre-vote under way.
void noteRefusal(replica_step &step, const replication_message &message, const vote_answer &answer);
/// Handles the answer to a vote or pre-vote request; a majority starts the election or makes this replica the leader.
void handleVoteAnswer(replica_step &step, const replication_message &message, const vote_answer &answer);
/// Returns whether this replica is the leader, or got a message from one within the election timeout.
bool knowsLiveLeader(const replica_step &step);

// leader.cpp

/// Appends a record to the leader's log, sends it to the followers that have been sent all earlier records, and returns
/// its index. Only for leaders.
log_index appendAsLeader(replica_step &step, std::variant<no_op, command, membership> content);
/// Sends every peer an append with the records that follow what it was sent, as far as it has room, or without records.
void broadcast(replica_step &step);
/// Does the periodic work of a leader: sends a heartbeat and takes the next step of a membership change.
void heartbeat(replica_step &step);
/// Updates a follower's progress from its answer, commits what a quorum holds, and sends the records it still lacks.
void handleAppendAnswer(replica_step &step, const replication_message &message, const append_answer &answer);
/// Sends the next chunk of a snapshot when a follower has received the previous ones.
void handleSnapshotAnswer(replica_step &step, const replication_message &message, const snapshot_answer &answer);
/// Returns what was sent to the peer and isn't confirmed.
unconfirmed_data dataUnderWay(const replica &self, const peer_progress &peer);
/// Commits the records that a quorum has on its disks.
void advanceCommit(replica_step &step);

// follower.cpp

/// Handles the leader's records: appends those that are missing and answers.
void handleAppendRequest(replica_step &step, const replication_message &message, const append_request &request);
/// Handles a chunk of the leader's snapshot; installs the snapshot when it is complete.
void handleSnapshotChunk(replica_step &step, const replication_message &message, const snapshot_chunk &chunk);
/// Raises the commit index and applies the records up to it. A leader that the committed membership lacks steps down.
void commitUpTo(replica_step &step, log_index committed);

// members.cpp

/// Puts a membership into force: one that was just appended, or the last one left after records were removed.
void adoptMembership(replica_step &step, const logged_membership &logged);
/// Appends the membership with a new learner, or refuses the proposal.
void proposeLearner(replica_step &step, const learner_proposed &proposed);
/// Appends the membership without a member, or refuses the proposal.
void proposeRemoval(replica_step &step, const removal_proposed &proposed);
/// Makes a learner that has caught up a voter, or removes a member that a new voter replaces.
void advanceMembership(replica_step &step);

// step.cpp

/// Emits a write of cluster, term and vote.
void persistVote(replica_step &step);
/// Returns a message of this replica in a term; the caller sets its body.
replication_message messageTo(const replica_step &step, vm_id to, term inTerm);
/// Sends a message after the step's writes are synced.
template<class body>
void sendAfterSync(replica_step &step, vm_id to, term inTerm, body content)
{
    replication_message message = messageTo(step, to, inTerm);
    message.body = std::move(content);
    step.afterSync.emplace_back(send_message{std::move(message)});
}

} // namespace guavafront
