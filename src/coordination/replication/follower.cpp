#include "coordination/replication/replica_step.h"

#include <algorithm>

namespace guavafront
{

namespace
{

/// Follows the sender, the leader of the current term; false when this replica leads the term itself.
bool followSender(replica_step &at, vm_id sender)
{
    replica &self = at.self;
    if (self.role == replica_role::Leader) {
        return false;
    }
    if (self.role != replica_role::Follower || self.leader != sender) {
        becomeFollower(at, self.currentTerm, sender);
    }
    self.leaderHeard = at.now;
    resetElectionDeadline(at);
    return true;
}

bool isContiguous(const append_request &request)
{
    std::uint64_t expected = request.previous.value;
    return std::ranges::all_of(request.records,
                               [&expected](const log_record &record) { return record.index.value == ++expected; });
}

/// Where the logs may agree at best, given that they differ at previous: before the whole differing term.
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

void removeFrom(replica_step &at, log_index first)
{
    replica &self = at.self;
    truncateFrom(self.log, first);
    const log_index last{first.value - 1};
    self.durableIndex = std::min(self.durableIndex, last);
    for (pending_write &write : self.pending) {
        write.last = std::min(write.last, last);
    }
    at.storage.emplace_back(remove_records{first});
    if (self.membersIndex >= first) {
        adoptMembership(at, membershipAt(self.log, last));
    }
}

/// Takes the records that the log lacks; those that differ are uncommitted and give way.
void takeRecords(replica_step &at, const append_request &request)
{
    replica &self = at.self;
    append_records added;
    for (const log_record &record : request.records) {
        if (record.index <= self.commitIndex) {
            continue;
        }
        if (record.index <= lastIndex(self.log)) {
            if (termAt(self.log, record.index) == record.at) {
                continue;
            }
            removeFrom(at, record.index);
        }
        self.log.records.push_back(record);
        added.records.push_back(record);
        if (const auto *members = std::get_if<membership>(&record.content)) {
            adoptMembership(at, {record.index, *members});
        }
    }
    if (!added.records.empty()) {
        at.storage.emplace_back(std::move(added));
    }
}

/// Replaces the log's start by the snapshot that is complete.
void install(replica_step &at, const log_snapshot &snapshot)
{
    replica &self = at.self;
    const bool keepsSuffix = termAt(self.log, snapshot.index) == snapshot.at;
    installSnapshot(self.log, snapshot);
    if (keepsSuffix) {
        compactTo(self.log, snapshot.index);
    } else {
        self.durableIndex = std::min(self.durableIndex, snapshot.index);
        for (pending_write &write : self.pending) {
            write.last = std::min(write.last, snapshot.index);
        }
    }
    self.commitIndex = snapshot.index;
    self.appliedIndex = snapshot.index;
    self.snapshotWanted = false;
    adoptMembership(at, membershipAt(self.log, lastIndex(self.log)));
    at.storage.emplace_back(write_snapshot{snapshot, snapshot.index, snapshot.at, !keepsSuffix});
    at.late.emplace_back(load_snapshot{snapshot});
}

/// The snapshot under way, begun anew when the chunk belongs to another one.
partial_snapshot &incomingFor(replica &self, vm_id from, const snapshot_chunk &chunk)
{
    const bool same = self.incoming && self.incoming->from == from && self.incoming->value.index == chunk.index
                      && self.incoming->value.at == chunk.at;
    if (!same) {
        self.incoming = partial_snapshot{{chunk.index, chunk.at, chunk.members, {}}, from};
    }
    return *self.incoming;
}

} // namespace

void handleAppendRequest(replica_step &at, const replication_message &message, const append_request &request)
{
    replica &self = at.self;
    if (!isContiguous(request) || !followSender(at, message.from)) {
        return;
    }
    const bool agrees =
        request.previous <= self.commitIndex || termAt(self.log, request.previous) == request.previousTerm;
    if (!agrees) {
        sendLate(at, message.from, self.currentTerm, append_answer{false, agreementHint(self, request.previous)});
        return;
    }
    takeRecords(at, request);
    const log_index sent{request.previous.value + request.records.size()};
    const log_index match = std::max(sent, self.commitIndex);
    commitUpTo(at, std::min(request.committed, match));
    sendLate(at, message.from, self.currentTerm, append_answer{true, match});
}

void handleSnapshotChunk(replica_step &at, const replication_message &message, const snapshot_chunk &chunk)
{
    replica &self = at.self;
    if (!followSender(at, message.from)) {
        return;
    }
    if (chunk.index <= self.commitIndex) {
        sendLate(at, message.from, self.currentTerm, append_answer{true, self.commitIndex});
        return;
    }
    partial_snapshot &incoming = incomingFor(self, message.from, chunk);
    std::vector<std::byte> &state = incoming.value.state;
    if (chunk.offset == state.size() && chunk.part.size() <= chunk.totalBytes - state.size()) {
        state.insert(state.end(), chunk.part.begin(), chunk.part.end());
    }
    if (state.size() < chunk.totalBytes) {
        sendLate(at, message.from, self.currentTerm, snapshot_answer{chunk.index, state.size()});
        return;
    }
    const log_snapshot whole = std::move(incoming.value);
    self.incoming.reset();
    install(at, whole);
    sendLate(at, message.from, self.currentTerm, append_answer{true, whole.index});
}

void commitUpTo(replica_step &at, log_index committed)
{
    replica &self = at.self;
    self.commitIndex = std::max(self.commitIndex, committed);
    while (self.appliedIndex < self.commitIndex) {
        ++self.appliedIndex.value;
        at.late.emplace_back(apply_record{recordAt(self.log, self.appliedIndex)});
    }
    const bool removed =
        self.membersIndex <= self.commitIndex && findMember(self.members, self.options.self) == nullptr;
    if (self.role == replica_role::Leader && removed) {
        broadcast(at);
        becomeFollower(at, self.currentTerm, {});
    }
    const std::uint64_t sinceSnapshot = self.appliedIndex.value - self.log.snapshot.index.value;
    if (!self.snapshotWanted && sinceSnapshot >= self.options.snapshotAfterRecords) {
        self.snapshotWanted = true;
        at.late.emplace_back(take_snapshot{self.appliedIndex});
    }
}

} // namespace guavafront
