#pragma once

#include <guavafront/coordination/replication/replica.h>

#include <utility>
#include <vector>

namespace guavafront
{

/// One step under way: the replica, the step's arguments, and its effects by when the host may perform them.
struct replica_step {
    replica &self; ///< The replica.
    instant now; ///< The step's time.
    std::uint64_t random; ///< The step's random number.
    std::uint64_t messageRound; ///< Round of the message that is being handled.
    std::vector<replica_effect> writes; ///< Writes, in order.
    std::vector<replica_effect> beforeSync; ///< Sends that needn't wait for the writes (thesis, section 10.2.1).
    std::vector<replica_effect> afterSync; ///< Everything that waits for the writes' sync.
};

// election.cpp

/// Follows leader (0 for none known) in a term that isn't lower than the current one.
void becomeFollower(replica_step &step, term newTerm, vm_id leader);
/// Asks the voters whether they would elect this replica.
void startPreVote(replica_step &step);
/// A leader that hasn't heard a quorum within the election timeout steps down.
void checkQuorum(replica_step &step);
/// Draws the next election deadline.
void resetElectionDeadline(replica_step &step);
/// Handles a vote request of any term.
void handleVoteRequest(replica_step &step, const replication_message &message, const vote_request &request);
/// Counts a vote.
void handleVoteAnswer(replica_step &step, const replication_message &message, const vote_answer &answer);
/// Whether a leader was heard within the election timeout, or this replica is the leader.
bool knowsLiveLeader(const replica_step &step);

// leader.cpp

/// Appends a record and sends it to the followers that are up to date. Leader only.
log_index appendAsLeader(replica_step &step, std::variant<no_op, command, membership> content);
/// Sends every peer what it lacks, or a heartbeat.
void broadcast(replica_step &step);
/// The leader's periodic work.
void heartbeat(replica_step &step);
/// Takes a follower's answer.
void handleAppendAnswer(replica_step &step, const replication_message &message, const append_answer &answer);
/// Goes on with a snapshot.
void handleSnapshotAnswer(replica_step &step, const replication_message &message, const snapshot_answer &answer);
/// Commits what a quorum has on its disks.
void advanceCommit(replica_step &step);

// follower.cpp

/// Takes a leader's records.
void handleAppendRequest(replica_step &step, const replication_message &message, const append_request &request);
/// Takes a part of a leader's snapshot.
void handleSnapshotChunk(replica_step &step, const replication_message &message, const snapshot_chunk &chunk);
/// Raises the commit index and applies what it covers.
void commitUpTo(replica_step &step, log_index committed);

// members.cpp

/// Makes a membership that was appended, or that is the last one left, the one in force.
void adoptMembership(replica_step &step, const logged_membership &logged);
/// Proposes a learner.
void proposeLearner(replica_step &step, const learner_proposed &proposed);
/// Proposes a removal.
void proposeRemoval(replica_step &step, const removal_proposed &proposed);
/// Makes a caught-up learner a voter, or removes a member that a new voter replaces.
void advanceMembership(replica_step &step);

// step.cpp

/// Writes term and vote.
void persistVote(replica_step &step);
/// Message from this replica in a term.
replication_message messageTo(const replica_step &step, vm_id to, term inTerm);
/// Sends a message once the step's writes are synced.
template<class body>
void sendAfterSync(replica_step &step, vm_id to, term inTerm, body content)
{
    replication_message message = messageTo(step, to, inTerm);
    message.body = std::move(content);
    step.afterSync.emplace_back(send_message{std::move(message)});
}

} // namespace guavafront
