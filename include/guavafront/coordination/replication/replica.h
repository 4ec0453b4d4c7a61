#pragma once

#include <guavafront/coordination/core/result_code.h>
#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/replication/election_reports.h>
#include <guavafront/coordination/replication/message.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace guavafront
{

/// Settings of one replica.
struct replica_options {
    vm_id self; ///< Identity of this VM, from its data folder.
    duration electionTimeout = std::chrono::milliseconds(600); ///< Minimum time without a message of the leader
                                                               ///< before an election; a random part of the
                                                               ///< same length is added.
    duration firstElectionTimeout =
        std::chrono::milliseconds(120); ///< Used instead of electionTimeout until the first message of a leader: after
                                        ///< a start there may be no leader left.
    duration maxElectionTimeout = std::chrono::seconds(2); ///< The timeouts above double with each further term that
                                                           ///< brings no leader, up to this one, since votes may
                                                           ///< take long to reach the disks. firstElectionTimeout
                                                           ///< doubles with each failed pre-vote, too, up to
                                                           ///< electionTimeout: a start takes VMs the time for
                                                           ///< answers.
    duration patienceTime = std::chrono::seconds(10); ///< Time for which electionTimeout is half as long again after
                                                      ///< a leader that was given up is heard: it had stood still.
    duration heartbeatInterval = std::chrono::milliseconds(150); ///< Time between two heartbeats of the leader.
    duration heldUpLimit = std::chrono::milliseconds(150); ///< A replica whose timer fires this late stood still.
                                                           ///< Messages that came meanwhile may not have been read,
                                                           ///< so that silence proves nothing yet.
    std::size_t maxMessageBytes = std::size_t{128} << 10; ///< Size in bytes of unanswered records from which on a
                                                          ///< member is sent no more; maximum size of a snapshot chunk.
    std::size_t maxUncommittedRecords = 4'096; ///< Commands beyond this number are refused.
    std::size_t snapshotAfterRecords = 4'096; ///< Number of applied records after which a snapshot is taken.
    std::size_t snapshotAfterBytes = std::size_t{4} << 20; ///< Size in bytes of applied records after which a snapshot
                                                           ///< is taken, if they are also larger than
                                                           ///< snapshotAfterStates states.
    std::size_t snapshotAfterStates = 3; ///< A large state isn't written for a few records, and followers get the whole
                                         ///< snapshot before a later one replaces it.
    std::size_t keptRecords = 1'024; ///< Largest number of records kept before the snapshot, for slow followers.
    std::size_t keptBytes = std::size_t{1} << 20; ///< Largest size in bytes of the records kept before the snapshot.
    std::size_t targetVoters = 3; ///< While there are fewer voters, learners that have caught up become voters. A
                                  ///< voter is removed without replacement only if at least this number remains,
                                  ///< or if it is absent (absentVoterLimit, minVoters).
    duration absentVoterLimit = std::chrono::seconds(20); ///< A voter that hasn't answered for this long counts as
                                                          ///< lost for good. Network cuts and freezes of VMs last
                                                          ///< some seconds and must not reach the limit.
    std::size_t minVoters = 3; ///< Number of voters that must remain when an absent voter is removed: one more than
                               ///< twice the number of disks that may be lost at the same time.
    duration lostMemberLimit = std::chrono::seconds(3); ///< A member that the failure detector of the fleet holds dead
                                                        ///< counts as lost when it hasn't answered for this long. A
                                                        ///< VM that waits takes its place; otherwise it is removed
                                                        ///< only if that makes a quorum easier to keep. If it
                                                        ///< returns, it joins again.
};

/// State of a replica on its disk, from which it starts.
struct stored_state {
    cluster_id cluster; ///< Cluster that the replica has joined; 0 for none.
    term currentTerm; ///< Latest term that the replica has seen.
    vm_id votedFor; ///< Candidate that the replica voted for in currentTerm; 0 for none.
    replicated_log log; ///< Latest snapshot and kept records.
    bool operator==(const stored_state &) const = default; ///< Memberwise equality.
};

/// Raft role of a replica.
enum class replica_role : std::uint8_t {
    Follower, ///< Receives records from a leader, or waits for a leader. Learners always have this role.
    PreCandidate, ///< Asks the voters whether they would elect it (pre-vote).
    Candidate, ///< Asks the voters for their votes.
    Leader, ///< Appends records, replicates them to the other members and commits them.
};

/// The leader's view of another member's progress.
struct peer_progress {
    vm_id id; ///< Identity of the member.
    log_index nextIndex; ///< Index of the first record that the next message sends.
    log_index matchIndex; ///< Index of the last record known to be on the member's disk.
    instant lastContact; ///< Time of the member's latest answer, or of its addition to the list.
    std::uint64_t answeredRound = 0; ///< Latest heartbeat round that the member has answered.
    log_index sentFrom; ///< Index at which sending began, or began again at the member's latest refusal. Records from
                        ///< it to nextIndex that the member hasn't confirmed are under way.
    std::optional<std::uint64_t> sentAgainRound; ///< Heartbeat round in which records from sentFrom on were sent again,
                                                 ///< or the latest chunk of a snapshot.
    log_index snapshotIndex; ///< Index of the snapshot that is being sent; 0 for none.
    std::uint64_t snapshotOffset = 0; ///< Bytes of that snapshot that the member has confirmed.
};

/// A write whose sync to the disk hasn't been reported yet.
struct pending_write {
    std::uint64_t sequence = 0; ///< Number of the sync that covers the write.
    log_index lastIndex; ///< Index of the log's last record at the time of the write.
};

/// A snapshot that a follower is receiving in chunks.
struct partial_snapshot {
    log_snapshot snapshot; ///< The snapshot; its state holds the bytes received so far.
    vm_id from; ///< Leader that sends the snapshot.
};

/// Complete state of one member of the replicated log. The algorithm is Raft (Ongaro & Ousterhout 2014, "In search of
/// an understandable consensus algorithm") with pre-vote, check-quorum and single-server membership changes (Ongaro's
/// thesis, 2014).
struct replica {
    replica_options options; ///< Options that were given to restore().
    cluster_id cluster; ///< Cluster that the replica has joined; 0 for none.
    term currentTerm; ///< Latest term that the replica has seen.
    vm_id votedFor; ///< Candidate that got this replica's vote in currentTerm; 0 for none.
    replicated_log log; ///< Latest snapshot and kept records.
    membership members; ///< Membership in force: the last one in the log, committed or not.
    log_index membersIndex; ///< Index of the record or snapshot that set members.
    log_index commitIndex; ///< Index of the last record known to be committed.
    log_index appliedIndex; ///< Index of the last record handed to the state machine.
    std::size_t appliedBytes = 0; ///< Size in bytes of the records after the snapshot up to appliedIndex.
    replica_role role = replica_role::Follower; ///< Current role.
    vm_id leader; ///< Leader of currentTerm; 0 when not known.
    instant lastLeaderContact; ///< Time of the latest message from a leader; the epoch before the first one.
    instant patientUntil; ///< End of the latest patienceTime.
    instant electionDeadline; ///< Time at which an election starts unless a message of the leader arrives before.
    bool deadlineExtended = false; ///< electionDeadline has been put off, since this replica stood still.
    std::uint32_t termsWithoutLeader = 0; ///< Terms that began since the latest message of a leader.
    std::uint32_t failedPreVotes = 0; ///< Pre-votes without a majority since the latest message of a leader.
    std::uint64_t ownVoteSync = 0; ///< Number of the sync that covers the own vote; 0 once it is reported.
    instant heartbeatDue; ///< Time of the leader's next heartbeat.
    instant heldUpUntil; ///< End of the latest time for which this replica stood still as leader.
    bool quorumExtended = false; ///< The time for a quorum's answers has begun anew at heldUpUntil.
    std::vector<vm_id> votes; ///< Voters that granted the vote or pre-vote under way, this replica included.
    std::vector<vm_id> refusals; ///< Voters that refused the vote or pre-vote under way.
    instant voteStartedAt; ///< Time at which the vote or pre-vote under way was asked for.
    std::uint64_t heartbeatRound = 0; ///< Number of the latest heartbeat that this replica sent as leader.
    std::deque<instant> heartbeatTimes; ///< Times of the latest heartbeats; the last entry belongs to heartbeatRound.
    std::vector<peer_progress> peers; ///< Progress of the other members; used by the leader only.
    log_index termStartIndex; ///< Index of the first record that this replica appended as leader of its term.
    std::uint64_t lastSyncSequence = 0; ///< Number of the latest sync_writes effect.
    std::deque<pending_write> pendingWrites; ///< Writes whose sync hasn't been reported yet, in order.
    log_index durableIndex; ///< Index of the last record known to be on the own disk.
    std::optional<partial_snapshot> incomingSnapshot; ///< Snapshot that is being received from the leader.
    bool snapshotRequested = false; ///< A take_snapshot effect was emitted and no snapshot_taken has followed yet.
};

/// Event: the time of nextDeadline() has come.
struct timer_fired {
};

/// Event: a message of another member has arrived.
struct message_received {
    replication_message message; ///< The message; the host has verified that it comes from the VM message.from.
};

/// Event: the host proposes a command for the log, or a barrier record for reads.
struct command_proposed {
    std::uint64_t ticket = 0; ///< Number by which the host recognizes the answer to this proposal.
    std::optional<std::vector<std::byte>> payload; ///< Encoded command; none for a barrier record.
};

/// Event: the host proposes to add a learner, or a learner that will replace another member.
struct learner_proposed {
    std::uint64_t ticket = 0; ///< Number by which the host recognizes the answer to this proposal.
    vm_id id; ///< Identity of the new member.
    vm_id replaces; ///< Member that the new one replaces; 0 for none.
};

/// Event: the host proposes to remove a member. A voter is removed only if at least targetVoters voters remain, or
/// minVoters when the voter has been absent for absentVoterLimit or counts as lost. In other cases the proposal is
/// refused, and the voter can only be replaced by a learner.
struct removal_proposed {
    std::uint64_t ticket = 0; ///< Number by which the host recognizes the answer to this proposal.
    vm_id id; ///< Identity of the member to remove.
    bool lost = false; ///< memberToRemove() returned the member.
};

/// Event: the host has completed a sync of the store.
struct writes_synced {
    std::uint64_t sequence = 0; ///< Number from the sync_writes effect; all earlier syncs are complete too.
};

/// Event: the host has encoded the state machine's state after all records up to an index.
struct snapshot_taken {
    log_index index; ///< Index of the last record that the state includes.
    std::vector<std::byte> state; ///< State as the state machine encoded it.
};

/// All events that a replica handles.
using replica_event = std::variant<timer_fired, message_received, command_proposed, learner_proposed, removal_proposed,
                                   writes_synced, snapshot_taken>;

/// Effect: write term, vote and cluster to the store.
struct write_vote {
    cluster_id cluster; ///< Value of replica::cluster.
    term currentTerm; ///< Value of replica::currentTerm.
    vm_id votedFor; ///< Value of replica::votedFor.
};

/// Effect: append records to the store; their indexes continue after the last record there.
struct append_records {
    std::vector<log_record> records; ///< Records with contiguous indexes.
};

/// Effect: remove the record at firstIndex and all records after it from the store.
struct remove_records {
    log_index firstIndex; ///< Index of the first removed record.
};

/// Effect: write the snapshot to the store, then remove the records up to precedingIndex, or all records.
struct write_snapshot {
    log_snapshot snapshot; ///< The complete snapshot.
    log_index precedingIndex; ///< Index of the record before the first kept one.
    term precedingTerm; ///< Term of the record at precedingIndex.
    bool dropAllRecords = false; ///< Remove all records, since the log on the disk doesn't hold the record at the
                                 ///< snapshot's index.
};

/// Applies a write to a copy of the disk's state. Stores use it to replay their journal.
void applyWrite(stored_state &stored, const write_vote &write);
void applyWrite(stored_state &stored, const append_records &write); ///< Applies appended records.
void applyWrite(stored_state &stored, const remove_records &write); ///< Applies a removal of records.
void applyWrite(stored_state &stored, const write_snapshot &write); ///< Applies a written snapshot.

/// Effect: sync the store, then report the sync by a writes_synced event.
struct sync_writes {
    std::uint64_t sequence = 0; ///< Number of the sync; goes up by one with each.
};

/// Effect: send a message. The replica copes with lost messages.
struct send_message {
    replication_message message; ///< Message for the VM message.to.
};

/// Effect: hand a committed record to the state machine.
struct apply_record {
    log_record record; ///< The record; each index comes once and in order.
};

/// Effect: replace the state machine's state by that of a snapshot.
struct load_snapshot {
    log_snapshot snapshot; ///< Snapshot with the state after all records up to its index.
};

/// Effect: encode the state machine's state and report it by a snapshot_taken event.
struct take_snapshot {
    log_index index; ///< Index of the last applied record.
};

/// Effect: tell the host that a proposal is in the leader's log. The outcome is known when the record at index is
/// applied: the proposal was accepted if that record has the same term, otherwise another record has replaced it.
struct proposal_appended {
    std::uint64_t ticket = 0; ///< Number from the proposal.
    log_index index; ///< Index of the proposal's record.
    term inTerm; ///< Term of the leader that appended the record.
};

/// Effect: tell the host that a proposal isn't in the log and never will be.
struct proposal_refused {
    std::uint64_t ticket = 0; ///< Number from the proposal.
    result_code code = result_code::NotLeader; ///< Reason of the refusal.
    vm_id leader; ///< Leader to which the proposal can be sent; 0 when not known.
};

/// Effect: tell the host that the replica's role, leader or term has changed. When the replica stops being leader, the
/// outcome of proposals that weren't applied is unknown to it.
struct role_changed {
    replica_role role = replica_role::Follower; ///< New role.
    vm_id leader; ///< Leader of the term; 0 when not known.
    term inTerm; ///< Current term.
};

/// All effects that a replica asks its host to perform.
using replica_effect =
    std::variant<write_vote, append_records, remove_records, write_snapshot, sync_writes, send_message, apply_record,
                 load_snapshot, take_snapshot, proposal_appended, proposal_refused, role_changed, vote_refused,
                 election_failed, quorum_lost, leader_lost>;

/// Returns a replica at its start, built from the state on its disk. random is uniform over 64 bits.
replica restore(const replica_options &options, const stored_state &stored, instant now, std::uint64_t random);

/// Returns the initial state on the disks of a new cluster's founders, which are its voters; all founders get the same
/// state. It is written once in the life of a cluster: a VM that starts later without stored state joins as a learner.
stored_state bootstrapState(cluster_id cluster, std::span<const vm_id> founders);

/// Handles one event and appends its effects to out. The host performs the effects of all steps in order. It performs
/// no effect that follows a sync_writes until that sync is complete, except that later writes to the store may be
/// written before and share the sync. After a failed write the host stops the replica. now never goes back; random is
/// uniform over 64 bits.
void step(replica &self, const replica_event &event, instant now, std::uint64_t random,
          std::vector<replica_effect> &out);

/// Returns the time at which the replica needs its next timer_fired event.
instant nextDeadline(const replica &self);

/// Returns whether the replica leads and has committed a record of its own term. Only then does it know that all
/// records that earlier leaders committed are committed.
bool hasCommittedOwnTerm(const replica &self);

/// Heartbeat of a leader that a quorum has answered.
struct confirmed_heartbeat {
    std::uint64_t round = 0; ///< Number of the heartbeat; increases within a term.
    instant sentAt; ///< Time at which the leader sent it.
};

/// Returns the latest heartbeat of this leader that a quorum has answered. Up to its time no other leader had committed
/// a record, and all records that others had committed before are among those that this leader knows to be committed.
/// Returns none when the replica doesn't lead, or a quorum hasn't answered yet.
std::optional<confirmed_heartbeat> confirmedHeartbeat(const replica &self);

/// Returns the time of confirmedHeartbeat().
std::optional<instant> leadershipConfirmedAt(const replica &self);

/// Returns the time of silence after which a voter gives its leader up, and a leader its leadership.
duration leaderTimeout(const replica &self, instant now);

/// Returns whether the replica's state counts as current at this time: within the last electionTimeout it got answers
/// of a quorum as leader, or a message from its leader. The state may still lack the latest commits; readers that need
/// those for certain propose a barrier record.
bool isCurrent(const replica &self, instant now);

} // namespace guavafront
