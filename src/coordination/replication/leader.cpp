#include "coordination/replication/replica_step.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <span>

namespace guavafront
{

namespace
{

/// Number of latest heartbeats whose times are kept.
constexpr std::size_t maxHeartbeatTimes = 64;

peer_progress *findPeer(replica &self, vm_id id)
{
    const auto found = std::ranges::find(self.peers, id, &peer_progress::id);
    return found == self.peers.end() ? nullptr : &*found;
}

void markAnswered(const replica_step &step, peer_progress &peer, const replication_message &message)
{
    peer.lastContact = step.now;
    peer.answeredRound = std::max(peer.answeredRound, std::min(message.heartbeatRound, step.self.heartbeatRound));
}

/// Notes that the peer is sent records from this index on, or their snapshot, once more.
void noteSentAgain(const replica_step &step, peer_progress &peer, log_index from)
{
    peer.sentAgainRound = step.self.heartbeatRound;
    peer.sentFrom = from;
}

/// Whether a refusal answers a message that left before the records from this index on were sent again.
bool isOutdated(const peer_progress &peer, const replication_message &message, log_index from)
{
    return peer.sentAgainRound && message.heartbeatRound <= *peer.sentAgainRound && from >= peer.sentFrom;
}

template<class body>
void sendBeforeSync(replica_step &step, vm_id to, body content)
{
    replication_message message = messageTo(step, to, step.self.currentTerm);
    message.body = std::move(content);
    step.beforeSync.emplace_back(send_message{std::move(message)});
}

/// Returns the bytes of the snapshot that the next chunk to the peer holds, or of the chunk that it hasn't confirmed.
std::span<const std::byte> currentChunk(const replica &self, const peer_progress &peer)
{
    const std::span rest = std::span(self.log.snapshot.state).subspan(peer.snapshotOffset);
    return rest.first(std::min(rest.size(), self.options.maxMessageBytes));
}

void sendSnapshotChunk(replica_step &step, peer_progress &peer)
{
    const log_snapshot &snapshot = step.self.log.snapshot;
    if (peer.snapshotIndex != snapshot.index) {
        peer.snapshotIndex = snapshot.index;
        peer.snapshotOffset = 0;
    }
    const std::span<const std::byte> part = currentChunk(step.self, peer);
    sendBeforeSync(step, peer.id,
                   snapshot_chunk{snapshot.index,
                                  snapshot.indexTerm,
                                  snapshot.members,
                                  snapshot.state.size(),
                                  peer.snapshotOffset,
                                  {part.begin(), part.end()}});
}

/// Whether the peer needs records that are no longer kept.
bool needsSnapshot(const replica &self, const peer_progress &peer)
{
    return peer.nextIndex <= self.log.precedingIndex;
}

/// Returns the records that were sent to the peer and that it hasn't confirmed.
unconfirmed_data recordsUnderWay(const replica &self, const peer_progress &peer)
{
    unconfirmed_data underWay;
    const log_index unconfirmed{std::max(peer.matchIndex, self.log.precedingIndex).value + 1};
    for (log_index index = std::max(unconfirmed, peer.sentFrom); index < peer.nextIndex; ++index.value) {
        ++underWay.records;
        underWay.bytes += estimatedBytes(recordAt(self.log, index));
    }
    return underWay;
}

/// Takes the records that the peer is to be sent next. Records that are under way count, so that a peer that doesn't
/// answer, or answers slowly, doesn't keep the other peers' messages waiting.
std::vector<log_record> takeRecords(const replica &self, peer_progress &peer)
{
    std::vector<log_record> records;
    const log_index last = lastIndex(self.log);
    std::size_t bytes = recordsUnderWay(self, peer).bytes;
    while (peer.nextIndex <= last && (bytes == 0 || bytes < self.options.maxMessageBytes)) {
        records.push_back(recordAt(self.log, peer.nextIndex));
        bytes += estimatedBytes(records.back());
        ++peer.nextIndex.value;
    }
    return records;
}

void sendAppend(replica_step &step, const peer_progress &peer, log_index previous, std::vector<log_record> records)
{
    const replica &self = step.self;
    sendBeforeSync(step, peer.id,
                   append_request{previous, *termAt(self.log, previous), self.commitIndex, std::move(records)});
}

/// Sends the peer what it lacks and has room for, if anything.
void sendMore(replica_step &step, peer_progress &peer)
{
    if (needsSnapshot(step.self, peer)) {
        noteSentAgain(step, peer, peer.nextIndex);
        sendSnapshotChunk(step, peer);
        return;
    }
    const log_index previous{peer.nextIndex.value - 1};
    if (std::vector<log_record> records = takeRecords(step.self, peer); !records.empty()) {
        sendAppend(step, peer, previous, std::move(records));
    }
}

/// Sends the peer an append, which it answers: with what it lacks and has room for, or without records. Follows what
/// was sent before, so that a peer that lacks something of it refuses.
void sendAppendOrHeartbeat(replica_step &step, peer_progress &peer)
{
    const replica &self = step.self;
    const log_index previous = needsSnapshot(self, peer) ? lastIndex(self.log) : log_index{peer.nextIndex.value - 1};
    std::vector<log_record> records;
    if (!needsSnapshot(self, peer)) {
        records = takeRecords(self, peer);
    }
    sendAppend(step, peer, previous, std::move(records));
}

} // namespace

log_index appendAsLeader(replica_step &step, std::variant<no_op, command, membership> content)
{
    replica &self = step.self;
    const log_index index{lastIndex(self.log).value + 1};
    self.log.records.push_back({index, self.currentTerm, std::move(content)});
    const log_record &record = self.log.records.back();
    step.writes.emplace_back(append_records{{record}});
    if (const auto *members = std::get_if<membership>(&record.content)) {
        adoptMembership(step, {index, *members});
    }
    for (peer_progress &peer : self.peers) {
        if (peer.nextIndex == index) {
            sendMore(step, peer);
        }
    }
    return index;
}

void broadcast(replica_step &step)
{
    for (peer_progress &peer : step.self.peers) {
        sendAppendOrHeartbeat(step, peer);
    }
}

void heartbeat(replica_step &step)
{
    replica &self = step.self;
    self.heartbeatDue = step.now + self.options.heartbeatInterval;
    ++self.heartbeatRound;
    self.heartbeatTimes.push_back(step.now);
    if (self.heartbeatTimes.size() > maxHeartbeatTimes) {
        self.heartbeatTimes.pop_front();
    }
    broadcast(step);
    advanceMembership(step);
}

void handleAppendAnswer(replica_step &step, const replication_message &message, const append_answer &answer)
{
    replica &self = step.self;
    peer_progress *peer = findPeer(self, message.from);
    if (self.role != replica_role::Leader || peer == nullptr || answer.matchIndex > lastIndex(self.log)) {
        return;
    }
    markAnswered(step, *peer, message);
    if (!answer.accepted) {
        const log_index retry{std::min(answer.matchIndex.value + 1, peer->nextIndex.value)};
        const log_index lacked = std::max(retry, log_index{peer->matchIndex.value + 1});
        if (!isOutdated(*peer, message, lacked)) {
            peer->nextIndex = lacked;
            noteSentAgain(step, *peer, lacked);
            sendMore(step, *peer);
        }
        return;
    }
    peer->matchIndex = std::max(peer->matchIndex, answer.matchIndex);
    peer->nextIndex = std::max(peer->nextIndex, log_index{peer->matchIndex.value + 1});
    peer->snapshotIndex = {};
    advanceCommit(step);
    // Committing a membership without this replica ends its leadership and clears the peers.
    peer = findPeer(self, message.from);
    if (peer != nullptr && peer->nextIndex <= lastIndex(self.log)) {
        sendMore(step, *peer);
    }
}

void handleSnapshotAnswer(replica_step &step, const replication_message &message, const snapshot_answer &answer)
{
    replica &self = step.self;
    peer_progress *peer = findPeer(self, message.from);
    if (self.role != replica_role::Leader || peer == nullptr) {
        return;
    }
    markAnswered(step, *peer, message);
    const std::uint64_t total = self.log.snapshot.state.size();
    if (answer.index != self.log.snapshot.index || answer.index != peer->snapshotIndex || answer.receivedBytes >= total
        || answer.receivedBytes == peer->snapshotOffset) {
        return;
    }
    peer->snapshotOffset = answer.receivedBytes;
    sendMore(step, *peer);
}

unconfirmed_data dataUnderWay(const replica &self, const peer_progress &peer)
{
    if (!needsSnapshot(self, peer)) {
        return recordsUnderWay(self, peer);
    }
    const bool chunkSent = peer.snapshotIndex.value != 0 && peer.snapshotIndex == self.log.snapshot.index;
    return {.records = 0, .bytes = chunkSent ? currentChunk(self, peer).size() : 0};
}

void advanceCommit(replica_step &step)
{
    replica &self = step.self;
    std::vector<log_index> matches;
    if (isVoter(self.members, self.options.self)) {
        matches.push_back(self.durableIndex);
    }
    for (const peer_progress &peer : self.peers) {
        if (isVoter(self.members, peer.id)) {
            matches.push_back(peer.matchIndex);
        }
    }
    std::ranges::sort(matches, std::greater{});
    const std::size_t quorum = quorumSize(self.members);
    if (matches.size() < quorum) {
        return;
    }
    const log_index candidate = matches[quorum - 1];
    if (candidate <= self.commitIndex || termAt(self.log, candidate) != self.currentTerm) {
        // Records of earlier terms are committed only together with one of the current term (Ongaro & Ousterhout 2014,
        // section 5.4.2).
        return;
    }
    commitUpTo(step, candidate);
    broadcast(step);
}

} // namespace guavafront
