#pragma once

#include <guavafront/coordination/replication/membership.h>

#include <cstddef>
#include <deque>
#include <optional>
#include <variant>
#include <vector>

namespace guavafront
{

/// Record without content. A new leader appends one to commit the records of earlier terms; also a barrier for reads.
struct no_op {
    bool operator==(const no_op &) const = default; ///< All instances are equal.
};

/// Record content that the replicated state machine executes.
struct command {
    std::vector<std::byte> payload; ///< Encoded command; the log doesn't interpret it.
    bool operator==(const command &) const = default; ///< Memberwise equality.
};

/// One record of the replicated log.
struct log_record {
    log_index index; ///< Position in the log; the records are contiguous.
    term inTerm; ///< Term of the leader that appended it.
    std::variant<no_op, command, membership> content; ///< A membership is in force as soon as its record is appended,
                                                      ///< before it is committed.
    bool operator==(const log_record &) const = default; ///< Memberwise equality.
};

/// State of the state machine after all records up to an index.
struct log_snapshot {
    log_index index; ///< Index of the last record that the snapshot includes; 0 for the empty snapshot.
    term indexTerm; ///< Term of the record at index.
    membership members; ///< Membership in force at index.
    std::vector<std::byte> state; ///< State as the state machine encoded it; the log doesn't interpret it.
    bool operator==(const log_snapshot &) const = default; ///< Memberwise equality.
};

/// The latest snapshot and the kept records: all records after the snapshot, and some before it so that slow followers
/// needn't be sent the whole snapshot.
struct replicated_log {
    log_snapshot snapshot; ///< Latest snapshot.
    log_index precedingIndex; ///< Index of the record before the first kept one.
    term precedingTerm; ///< Term of the record at precedingIndex.
    std::deque<log_record> records; ///< Kept records with contiguous indexes from precedingIndex + 1.
    bool operator==(const replicated_log &) const = default; ///< Memberwise equality.
};

/// Returns the index of the last record, or precedingIndex when no record is kept.
log_index lastIndex(const replicated_log &log);

/// Returns the term of the last record, or precedingTerm when no record is kept.
term lastTerm(const replicated_log &log);

/// Returns the term of the record at the index; none when the record was compacted away or isn't in the log yet.
std::optional<term> termAt(const replicated_log &log, log_index index);

/// Returns the kept record at the index. The record must be kept; this is asserted.
const log_record &recordAt(const replicated_log &log, log_index index);

/// Returns the estimated size in bytes of a record in a message or on the disk.
std::size_t estimatedBytes(const log_record &record);

/// Returns the estimated size in bytes of the kept records after one index, up to and with another.
std::size_t estimatedBytes(const replicated_log &log, log_index after, log_index last);

/// Returns the index up to which the records before the snapshot are removed, so that at most maxRecords of them with
/// together at most maxBytes are kept. It isn't beyond the snapshot.
log_index compactionIndex(const replicated_log &log, std::size_t maxRecords, std::size_t maxBytes);

/// Returns whether another log, which ends with this record, is at least as up to date as log (Ongaro & Ousterhout
/// 2014, section 5.4.1).
bool isAtLeastAsUpToDate(const replicated_log &log, log_index otherLastIndex, term otherLastTerm);

/// Removes the record at first and all records after it. The removed records must lie after the snapshot.
void truncateFrom(replicated_log &log, log_index first);

/// Removes the kept records up to last, which must not be beyond the snapshot.
void compactTo(replicated_log &log, log_index last);

/// Replaces the snapshot by a later one. When the log holds the last record of the new snapshot, all records stay; when
/// it doesn't, all are removed, since the log differs from that of the snapshot.
void installSnapshot(replicated_log &log, const log_snapshot &snapshot);

/// A membership and the index of the record that set it.
struct logged_membership {
    log_index index; ///< Index of the record or snapshot that holds the membership.
    membership members; ///< Membership in force from index on.
};

/// Returns the membership in force at an index that is not before the snapshot: the last one set at or before the
/// index.
logged_membership membershipAt(const replicated_log &log, log_index index);

} // namespace guavafront
