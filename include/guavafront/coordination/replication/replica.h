#pragma once

#include <guavafront/coordination/core/result_code.h>
#include <guavafront/coordination/core/time.h>
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
    vm_id self; ///< Identity from the data folder.
    duration electionTimeout = std::chrono::milliseconds(600); ///< Silence of a leader that is put up with, at least.
    duration firstElectionTimeout =
        std::chrono::milliseconds(120); ///< The same before a leader was ever heard: after a start none may be left.
    duration heartbeatInterval = std::chrono::milliseconds(150); ///< Between two messages of an idle leader.
    std::size_t maxMessageBytes = std::size_t{128} << 10; ///< Payload of one append or chunk.
    std::size_t maxUncommittedRecords = 4'096; ///< More are refused.
    std::size_t snapshotAfterRecords = 4'096; ///< Applied records between two snapshots.
    std::size_t keptRecords = 1'024; ///< Records kept before the snapshot for slow followers.
    std::size_t targetVoters = 3; ///< Caught-up learners become voters while there are fewer; none is only removed.
    duration absentVoterLimit = std::chrono::seconds(20); ///< A voter that is silent for longer counts as gone for
                                                          ///< good: cuts and freezes of VMs last some seconds.
    std::size_t minVoters = 3; ///< So many stay where voters that are gone for good are removed.
};

/// What a replica finds on its disk at the start.
struct stored_state {
    cluster_id cluster; ///< 0 before it has joined one.
    term currentTerm; ///< Latest term it has seen.
    vm_id votedFor; ///< Candidate it voted for in that term; 0 for none.
    replicated_log log; ///< Snapshot and records.
    bool operator==(const stored_state &) const = default; ///< Memberwise equality.
};

/// What a replica does at present.
enum class replica_role : std::uint8_t {
    Follower, ///< Follows a leader, or waits for one; learners always do.
    PreCandidate, ///< Asks whether it would be elected.
    Candidate, ///< Asks to be elected.
    Leader, ///< Appends and commits.
};

/// What the leader knows of another member.
struct peer_progress {
    vm_id id; ///< The member.
    log_index nextIndex; ///< First record to send next.
    log_index matchIndex; ///< Last record known to be on its disk.
    instant lastContact; ///< When it last answered.
    std::uint64_t answeredRound = 0; ///< Latest heartbeat round that it has answered.
    bool answeredSinceHeartbeat = true; ///< It has answered since the last heartbeat.
    log_index snapshotIndex; ///< Snapshot it is being sent; 0 for none.
    std::uint64_t snapshotOffset = 0; ///< Bytes of it that it has confirmed.
};

/// A write that isn't known to be on the disk yet.
struct pending_write {
    std::uint64_t sequence = 0; ///< Number of the sync that covers it.
    log_index lastIndex; ///< Last record it holds.
};

/// Snapshot that is being received.
struct partial_snapshot {
    log_snapshot snapshot; ///< Its state holds the bytes received so far.
    vm_id from; ///< The sender.
};

/// One member's whole state of the replicated log: Raft (Ongaro & Ousterhout 2014, "In search of an understandable
/// consensus algorithm") with pre-vote, check-quorum and single-server membership changes (Ongaro's thesis, 2014).
struct replica {
    replica_options options; ///< As given to restore().
    cluster_id cluster; ///< 0 before it has joined one.
    term currentTerm; ///< Latest term seen.
    vm_id votedFor; ///< Vote in currentTerm.
    replicated_log log; ///< Snapshot and records.
    membership members; ///< In force: the last one in the log, committed or not.
    log_index membersIndex; ///< Its index.
    log_index commitIndex; ///< Last record known to be committed.
    log_index appliedIndex; ///< Last record handed to the state machine.
    replica_role role = replica_role::Follower; ///< At present.
    vm_id leader; ///< Leader of currentTerm as far as known.
    instant lastLeaderContact; ///< When the leader was last heard.
    instant electionDeadline; ///< When to ask for election unless a leader is heard.
    instant heartbeatDue; ///< When the leader speaks next.
    std::vector<vm_id> votes; ///< Votes and pre-votes received, its own included.
    std::uint64_t heartbeatRound = 0; ///< The leader's latest heartbeat.
    std::deque<instant> heartbeatTimes; ///< When the latest heartbeats were sent, the last one being round.
    std::vector<peer_progress> peers; ///< The leader's view of the other members.
    log_index termStartIndex; ///< The leader's first record.
    std::uint64_t lastSyncSequence = 0; ///< Number of the latest sync asked for.
    std::deque<pending_write> pendingWrites; ///< Writes whose sync wasn't reported yet.
    log_index durableIndex; ///< Last record known to be on its own disk.
    std::optional<partial_snapshot> incomingSnapshot; ///< Snapshot that is being received.
    bool snapshotRequested = false; ///< take_snapshot was emitted and not answered yet.
};

/// Time has passed.
struct timer_fired {
};

/// A message has arrived.
struct message_received {
    replication_message message; ///< From the peer that message.from names; the host has verified that.
};

/// The host wants a command in the log; no payload asks for a barrier record.
struct command_proposed {
    std::uint64_t ticket = 0; ///< The host's number for it.
    std::optional<std::vector<std::byte>> payload; ///< The command.
};

/// An operator wants a learner, or a learner that will take another member's place.
struct learner_proposed {
    std::uint64_t ticket = 0; ///< The host's number for it.
    vm_id id; ///< The new member.
    vm_id replaces; ///< Member that it replaces; 0 for none.
};

/// A member is to be removed. A voter is removed only when targetVoters remain, or leastVoters where it is gone for
/// good; otherwise it is replaced.
struct removal_proposed {
    std::uint64_t ticket = 0; ///< The host's number for it.
    vm_id id; ///< The member.
};

/// A sync is complete.
struct writes_synced {
    std::uint64_t sequence = 0; ///< As in sync_writes; covers all before it.
};

/// The state machine's state after all records up to an index.
struct snapshot_taken {
    log_index index; ///< Last applied record.
    std::vector<std::byte> state; ///< Encoded by the state machine.
};

/// Everything that can happen to a replica.
using replica_event = std::variant<timer_fired, message_received, command_proposed, learner_proposed, removal_proposed,
                                   writes_synced, snapshot_taken>;

/// Write term, vote and cluster to the store.
struct write_vote {
    cluster_id cluster; ///< As in the replica.
    term currentTerm; ///< As in the replica.
    vm_id votedFor; ///< As in the replica.
};

/// Write records to the store; they follow the last one there.
struct append_records {
    std::vector<log_record> records; ///< Contiguous.
};

/// Remove the record at first and all after it from the store.
struct remove_records {
    log_index firstIndex; ///< First one removed.
};

/// Write the snapshot to the store, then forget the records up to preceding, or all of them.
struct write_snapshot {
    log_snapshot snapshot; ///< Whole.
    log_index precedingIndex; ///< Records after it are kept.
    term precedingTerm; ///< Term of the record there.
    bool dropAllRecords = false; ///< No record is kept: the log before the snapshot differs.
};

/// What the disk holds after a write. Stores replay their journal with it.
void applyWrite(stored_state &stored, const write_vote &write);
void applyWrite(stored_state &stored, const append_records &write); ///< As above.
void applyWrite(stored_state &stored, const remove_records &write); ///< As above.
void applyWrite(stored_state &stored, const write_snapshot &write); ///< As above.

/// Sync the store; report it by writes_synced.
struct sync_writes {
    std::uint64_t sequence = 0; ///< Number of the sync.
};

/// Send a message; it may get lost.
struct send_message {
    replication_message message; ///< To message.to.
};

/// Hand a committed record to the state machine.
struct apply_record {
    log_record record; ///< Each index once, in order.
};

/// Replace the state machine's state.
struct load_snapshot {
    log_snapshot snapshot; ///< State after all records up to its index.
};

/// Encode the state machine's state and report it by snapshot_taken.
struct take_snapshot {
    log_index index; ///< Last applied record.
};

/// A proposal is in the log; it is decided when the record at index is applied: accepted when its term is the same.
struct proposal_appended {
    std::uint64_t ticket = 0; ///< The host's number.
    log_index index; ///< Where.
    term inTerm; ///< The leader's term.
};

/// A proposal isn't in the log and never will be.
struct proposal_refused {
    std::uint64_t ticket = 0; ///< The host's number.
    result_code code = result_code::NotLeader; ///< Why.
    vm_id leader; ///< Whom to ask; 0 when not known.
};

/// Role or leader has changed. Whoever was a leader doesn't know the outcome of proposals that weren't applied.
struct role_changed {
    replica_role role = replica_role::Follower; ///< The new role.
    vm_id leader; ///< Leader as far as known; 0 for none.
    term inTerm; ///< The term.
};

/// Everything a replica wants done.
using replica_effect =
    std::variant<write_vote, append_records, remove_records, write_snapshot, sync_writes, send_message, apply_record,
                 load_snapshot, take_snapshot, proposal_appended, proposal_refused, role_changed>;

/// Replica as of a start, from what its disk holds.
replica restore(const replica_options &options, const stored_state &stored, instant now, std::uint64_t random);

/// What the disks of a new cluster's founders hold: they are its voters, the same on each of them. Done once; a VM that
/// starts without stored state joins as a learner instead.
stored_state bootstrapState(cluster_id cluster, std::span<const vm_id> founders);

/// Handles one event. Effects are appended to out. The host performs them in order over all steps, and performs nothing
/// that follows a sync_writes until that sync is complete; storage effects that follow may be written earlier and share
/// the sync. After a failed write the host stops the replica. now never goes back; random is uniform over 64 bits.
void step(replica &self, const replica_event &event, instant now, std::uint64_t random,
          std::vector<replica_effect> &out);

/// When a timer_fired is due next.
instant nextDeadline(const replica &self);

/// When a leader sent the latest heartbeat that a quorum has answered: up to then no other leader had accepted
/// anything, and this one has applied all that was accepted. Nothing when it isn't a leader or a quorum hasn't answered
/// yet.
std::optional<instant> leadershipConfirmedAt(const replica &self);

/// Whether the replica, at this time, can call what it holds current: it leads with a quorum that answered, or heard a
/// leader, within the election timeout. For readers that need the latest for certain there is the barrier record.
bool isCurrent(const replica &self, instant now);

} // namespace guavafront
