#pragma once

#include <guavafront/coordination/replication/replicated_log.h>

#include <cstdint>
#include <variant>
#include <vector>

namespace guavafront
{

/// Identifies one replicated log and its members. The number is drawn when the first member is created; 0 on a VM that
/// hasn't joined a cluster.
using cluster_id = strong_id<struct cluster_tag>;

/// A candidate's request for a vote, or in a pre-vote the question whether the receiver would give its vote (Ongaro
/// 2014 thesis, section 9.6).
struct vote_request {
    bool preVote = false; ///< Pre-vote: the receiver answers without changing its state.
    log_index lastIndex; ///< Index of the last record in the candidate's log.
    term lastTerm; ///< Term of that last record.
    bool operator==(const vote_request &) const = default; ///< Memberwise equality.
};

/// Answer to a vote_request.
struct vote_answer {
    bool preVote = false; ///< Copied from the request.
    bool granted = false; ///< The receiver gives its vote, or in a pre-vote would give it.
    bool operator==(const vote_answer &) const = default; ///< Memberwise equality.
};

/// Records that the leader sends to a follower. A message without records is a heartbeat.
struct append_request {
    log_index previousIndex; ///< Index of the record before the first one in records.
    term previousTerm; ///< Term of the record at previousIndex.
    log_index commitIndex; ///< Commit index of the leader.
    std::vector<log_record> records; ///< Records with contiguous indexes from previousIndex + 1.
    bool operator==(const append_request &) const = default; ///< Memberwise equality.
};

/// Answer to an append_request, or to the last chunk of a snapshot.
struct append_answer {
    bool accepted = false; ///< The follower's disk holds all records of the leader up to matchIndex.
    log_index matchIndex; ///< If not accepted, the highest index up to which the logs may agree.
    bool operator==(const append_answer &) const = default; ///< Memberwise equality.
};

/// Part of the leader's snapshot, for a follower that needs records that the leader no longer keeps.
struct snapshot_chunk {
    log_index index; ///< Index of the last record that the snapshot includes.
    term indexTerm; ///< Term of the record at index.
    membership members; ///< Membership in force at index.
    std::uint64_t totalBytes = 0; ///< Size in bytes of the whole encoded state.
    std::uint64_t offset = 0; ///< Position in bytes of part in the encoded state.
    std::vector<std::byte> part; ///< Bytes of the encoded state from offset on.
    bool operator==(const snapshot_chunk &) const = default; ///< Memberwise equality.
};

/// A follower's report of how much of a snapshot it has received.
struct snapshot_answer {
    log_index index; ///< Index of the snapshot that is being received.
    std::uint64_t receivedBytes = 0; ///< Number of contiguous bytes received from the start of the state.
    bool operator==(const snapshot_answer &) const = default; ///< Memberwise equality.
};

/// Message between two control VMs.
struct replication_message {
    cluster_id cluster; ///< Cluster of the sender; a receiver in another cluster drops the message.
    vm_id from; ///< Identity of the sender.
    vm_id to; ///< Identity of the receiver; a VM with another identity at the same address drops the message.
    term inTerm; ///< Current term of the sender. In a pre-vote request, and in the answer that grants it, the
                 ///< term that the candidate would start.
    std::uint64_t heartbeatRound = 0; ///< Number of the leader's latest heartbeat; an answer repeats the number
                                      ///< of the message that it answers.
    std::variant<vote_request, vote_answer, append_request, append_answer, snapshot_chunk, snapshot_answer>
        body; ///< Content of the message.
    bool operator==(const replication_message &) const = default; ///< Memberwise equality.
};

} // namespace guavafront
