#pragma once

#include <guavafront/coordination/replication/membership.h>

#include <cstddef>
#include <deque>
#include <optional>
#include <variant>
#include <vector>

namespace guavafront
{

/// Record that a new leader appends to commit what earlier terms left; also a barrier for reads.
struct no_op {
    bool operator==(const no_op &) const = default; ///< Always equal.
};

/// Command for the replicated state machine.
struct command {
    std::vector<std::byte> payload; ///< Opaque to the log.
    bool operator==(const command &) const = default; ///< Memberwise equality.
};

/// One record of the replicated log.
struct log_record {
    log_index index; ///< Position; records are contiguous.
    term inTerm; ///< Term of the leader that appended it.
    std::variant<no_op, command, membership> content; ///< A membership is in force from its append on.
    bool operator==(const log_record &) const = default; ///< Memberwise equality.
};

/// State after all records up to an index.
struct log_snapshot {
    log_index index; ///< Last record that is included; 0 for the empty snapshot.
    term indexTerm; ///< Term of that record.
    membership members; ///< Membership in force at index.
    std::vector<std::byte> state; ///< The state machine's; opaque to the log.
    bool operator==(const log_snapshot &) const = default; ///< Memberwise equality.
};

/// The latest snapshot, and the records that are kept: all after the snapshot, some before it for slow followers.
struct replicated_log {
    log_snapshot snapshot; ///< Latest.
    log_index precedingIndex; ///< Index before the first kept record.
    term precedingTerm; ///< Term of the record at precedingIndex.
    std::deque<log_record> records; ///< Kept records, contiguous.
    bool operator==(const replicated_log &) const = default; ///< Memberwise equality.
};

/// Index of the last record, or the preceding index when none is kept.
log_index lastIndex(const replicated_log &log);

/// Term of the last record, or the preceding term when none is kept.
term lastTerm(const replicated_log &log);

/// Term of the record at the index; none when it isn't known any more or not yet.
std::optional<term> termAt(const replicated_log &log, log_index index);

/// The kept record at the index; an internal contract holds that it is there.
const log_record &recordAt(const replicated_log &log, log_index index);

/// Whether a log that ends with this record is at least as up to date (Ongaro & Ousterhout 2014, section 5.4.1).
bool isAtLeastAsUpToDate(const replicated_log &log, log_index otherLastIndex, term otherLastTerm);

/// Removes the record at first and all after it.
void truncateFrom(replicated_log &log, log_index first);

/// Forgets records up to last, which is not beyond the snapshot.
void compactTo(replicated_log &log, log_index last);

/// Replaces the snapshot by a later one. Records after it are kept when the log holds the snapshot's last record, else
/// all are dropped.
void installSnapshot(replicated_log &log, const log_snapshot &snapshot);

/// A membership and the record that set it.
struct logged_membership {
    log_index index; ///< Record or snapshot that holds it.
    membership members; ///< In force from index on.
};

/// Membership in force at an index that is not before the snapshot: the last one at or before it.
logged_membership membershipAt(const replicated_log &log, log_index index);

} // namespace guavafront
