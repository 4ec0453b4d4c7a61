#include "coordination/replication/replica_step.h"

#include <algorithm>

namespace guavafront
{

namespace
{

/// Follows the sender, which is the leader of the current term. Returns false when this replica leads the term itself.
bool followSender(replica_step &step, vm_id sender)
{
    replica &self = step.self;
    if (self.role == replica_role::Leader) {
        return false;
    }
    if (self.role != replica_role::Follower || self.leader != sender) {
        becomeFollower(step, self.currentTerm, sender);
    }
    self.lastLeaderContact = step.now;
    self.termsWithoutLeader = 0;
    self.failedPreVotes = 0;
    resetElectionDeadline(step);
    return true;
}

bool isContiguous(const append_request &request)
{
    std::uint64_t expected = request.previousIndex.value;
    return std::ranges::all_of(request.records,
                               [&expected](const log_record &record) { return record.index.value == ++expected; });
}

/// Returns the highest index up to which this log may agree with the leader's, given that they differ at previous. All
/// records of the differing term are skipped at once, so that the leader needs one message a term and not one a record.
log_index agreementHint(const replica &self, log_index previous)
{
    if (previous > lastIndex(self.log)) {
        return lastIndex(self.log);
    }
    const std::optional<term> differing = termAt(self.log, previous);
    log_index hint{previous.value - 1};
    while (hint > self.commitIndex && termAt(self.log, hint) == differing) {
        --hint.value;
    }
    return hint;
}

void removeRecordsFrom(replica_step &step, log_index first)
{
    replica &self = step.self;
    truncateFrom(self.log, first);
    const log_index last{first.value - 1};
    self.durableIndex = std::min(self.durableIndex, last);
    for (pending_write &write : self.pendingWrites) {
        write.lastIndex = std::min(write.lastIndex, last);
    }
    step.writes.emplace_back(remove_records{first});
    if (self.membersIndex >= first) {
        adoptMembership(step, membershipAt(self.log, last));
    }
}

/// Appends the records that the log lacks. Records of this log that differ from the leader's are uncommitted and are
/// replaced.
void mergeRecords(replica_step &step, const append_request &request)
{
    replica &self = step.self;
    append_records added;
    for (const log_record &record : request.records) {
        if (record.index <= self.commitIndex) {
            continue;
        }
        if (record.index <= lastIndex(self.log)) {
            if (termAt(self.log, record.index) == record.inTerm) {
                continue;
            }
            removeRecordsFrom(step, record.index);
        }
        self.log.records.push_back(record);
        added.records.push_back(record);
        if (const auto *members = std::get_if<membership>(&record.content)) {
            adoptMembership(step, {record.index, *members});
        }
    }
    if (!added.records.empty()) {
        step.writes.emplace_back(std::move(added));
    }
}

/// Replaces the start of the log, up to the snapshot's index, by a completely received snapshot.
void installReceivedSnapshot(replica_step &step, const log_snapshot &snapshot)
{
    replica &self = step.self;
    const bool keepsSuffix = termAt(self.log, snapshot.index) == snapshot.indexTerm;
    installSnapshot(self.log, snapshot);
    if (keepsSuffix) {
        compactTo(self.log, snapshot.index);
    } else {
        self.durableIndex = std::min(self.durableIndex, snapshot.index);
        for (pending_write &write : self.pendingWrites) {
            write.lastIndex = std::min(write.lastIndex, snapshot.index);
        }
    }
    self.commitIndex = snapshot.index;
    self.appliedIndex = snapshot.index;
    self.appliedBytes = 0;
    self.snapshotRequested = false;
    adoptMembership(step, membershipAt(self.log, lastIndex(self.log)));
    step.writes.emplace_back(write_snapshot{snapshot, snapshot.index, snapshot.indexTerm, !keepsSuffix});
    step.afterSync.emplace_back(load_snapshot{snapshot});
}

/// Returns the snapshot that is being received; starts an empty one when the chunk belongs to another snapshot.
partial_snapshot &incomingSnapshotFor(replica &self, vm_id from, const snapshot_chunk &chunk)
{
    const bool same = self.incomingSnapshot && self.incomingSnapshot->from == from
                      && self.incomingSnapshot->snapshot.index == chunk.index
                      && self.incomingSnapshot->snapshot.indexTerm == chunk.indexTerm;
    if (!same) {
        self.incomingSnapshot = partial_snapshot{{chunk.index, chunk.indexTerm, chunk.members, {}}, from};
    }
    return *self.incomingSnapshot;
}

/// Returns whether enough records were applied since the latest snapshot, by number or by size, to take another one.
bool isSnapshotDue(const replica &self)
{
    const replica_options &options = self.options;
    const std::uint64_t records = self.appliedIndex.value - self.log.snapshot.index.value;
    const std::size_t maxBytes =
        std::max(options.snapshotAfterBytes, options.snapshotAfterStates * self.log.snapshot.state.size());
    return records >= options.snapshotAfterRecords || self.appliedBytes > maxBytes;
}

} // namespace

void handleAppendRequest(replica_step &step, const replication_message &message, const append_request &request)
{
    replica &self = step.self;
    if (!isContiguous(request) || !followSender(step, message.from)) {
        return;
    }
    const bool agrees =
        request.previousIndex <= self.commitIndex || termAt(self.log, request.previousIndex) == request.previousTerm;
    if (!agrees) {
        sendAfterSync(step, message.from, self.currentTerm,
                      append_answer{false, agreementHint(self, request.previousIndex)});
        return;
    }
    mergeRecords(step, request);
    const log_index sent{request.previousIndex.value + request.records.size()};
    const log_index match = std::max(sent, self.commitIndex);
    commitUpTo(step, std::min(request.commitIndex, match));
    sendAfterSync(step, message.from, self.currentTerm, append_answer{true, match});
}

void handleSnapshotChunk(replica_step &step, const replication_message &message, const snapshot_chunk &chunk)
{
    replica &self = step.self;
    if (!followSender(step, message.from)) {
        return;
    }
    if (chunk.index <= self.commitIndex) {
        sendAfterSync(step, message.from, self.currentTerm, append_answer{true, self.commitIndex});
        return;
    }
    partial_snapshot &incoming = incomingSnapshotFor(self, message.from, chunk);
    std::vector<std::byte> &state = incoming.snapshot.state;
    if (chunk.offset == state.size() && chunk.part.size() <= chunk.totalBytes - state.size()) {
        state.insert(state.end(), chunk.part.begin(), chunk.part.end());
    }
    if (state.size() < chunk.totalBytes) {
        sendAfterSync(step, message.from, self.currentTerm, snapshot_answer{chunk.index, state.size()});
        return;
    }
    const log_snapshot whole = std::move(incoming.snapshot);
    self.incomingSnapshot.reset();
    installReceivedSnapshot(step, whole);
    sendAfterSync(step, message.from, self.currentTerm, append_answer{true, whole.index});
}

void commitUpTo(replica_step &step, log_index committed)
{
    replica &self = step.self;
    self.commitIndex = std::max(self.commitIndex, committed);
    while (self.appliedIndex < self.commitIndex) {
        ++self.appliedIndex.value;
        const log_record &applied = recordAt(self.log, self.appliedIndex);
        self.appliedBytes += estimatedBytes(applied);
        step.afterSync.emplace_back(apply_record{applied});
    }
    const bool removed =
        self.membersIndex <= self.commitIndex && findMember(self.members, self.options.self) == nullptr;
    if (self.role == replica_role::Leader && removed) {
        broadcast(step);
        becomeFollower(step, self.currentTerm, {});
    }
    if (!self.snapshotRequested && isSnapshotDue(self)) {
        self.snapshotRequested = true;
        step.afterSync.emplace_back(take_snapshot{self.appliedIndex});
    }
}

} // namespace guavafront
