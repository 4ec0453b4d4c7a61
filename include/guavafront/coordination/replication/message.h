#pragma once

#include <guavafront/coordination/replication/replicated_log.h>

#include <cstdint>
#include <variant>
#include <vector>

namespace guavafront
{

/// Replicated log as a whole, drawn when its first member is created; 0 on a VM that hasn't joined one.
using cluster_id = strong_id<struct cluster_tag>;

/// Asks for a vote, or whether one would be given (pre-vote, Ongaro 2014 thesis, section 9.6).
struct vote_request {
    bool preVote = false; ///< Changes nothing at the receiver.
    log_index lastIndex; ///< Candidate's last record.
    term lastTerm; ///< Its term.
    bool operator==(const vote_request &) const = default; ///< Memberwise equality.
};

/// Answer to a vote_request.
struct vote_answer {
    bool preVote = false; ///< As in the request.
    bool granted = false; ///< The vote is, or would be, given.
    bool operator==(const vote_answer &) const = default; ///< Memberwise equality.
};

/// The leader's records for a follower; none in a heartbeat.
struct append_request {
    log_index previousIndex; ///< Index before the first record sent.
    term previousTerm; ///< Term of the record there.
    log_index commitIndex; ///< The leader's commit index.
    std::vector<log_record> records; ///< Contiguous from previous + 1.
    bool operator==(const append_request &) const = default; ///< Memberwise equality.
};

/// Answer to an append_request, or to the last chunk of a snapshot.
struct append_answer {
    bool accepted = false; ///< The log holds all records up to match, on disk.
    log_index matchIndex; ///< When refused, where the logs may agree at best.
    bool operator==(const append_answer &) const = default; ///< Memberwise equality.
};

/// Part of the leader's snapshot.
struct snapshot_chunk {
    log_index index; ///< Of the snapshot.
    term indexTerm; ///< Of the snapshot.
    membership members; ///< Of the snapshot.
    std::uint64_t totalBytes = 0; ///< Size of the whole state.
    std::uint64_t offset = 0; ///< Where the part starts.
    std::vector<std::byte> part; ///< The bytes.
    bool operator==(const snapshot_chunk &) const = default; ///< Memberwise equality.
};

/// How much of a snapshot was received.
struct snapshot_answer {
    log_index index; ///< Of the snapshot.
    std::uint64_t receivedBytes = 0; ///< From the start, without gap.
    bool operator==(const snapshot_answer &) const = default; ///< Memberwise equality.
};

/// Message between two control VMs.
struct replication_message {
    cluster_id cluster; ///< Messages of another cluster are dropped.
    vm_id from; ///< Sender.
    vm_id to; ///< Receiver; another identity at the same address drops it.
    term inTerm; ///< The sender's term; in a pre-vote request the term it would start.
    std::uint64_t heartbeatRound = 0; ///< The leader's latest heartbeat; an answer repeats the one that it answers.
    std::variant<vote_request, vote_answer, append_request, append_answer, snapshot_chunk, snapshot_answer>
        body; ///< What is said.
    bool operator==(const replication_message &) const = default; ///< Memberwise equality.
};

} // namespace guavafront
