#include "coordination/replication/replica_step.h"

#include <algorithm>
#include <functional>

namespace guavafront
{

namespace
{

constexpr std::size_t recordOverheadBytes = 64; ///< Estimated bytes of a record in a message besides its payload.

std::size_t estimatedBytes(const log_record &record)
{
    const auto *stored = std::get_if<command>(&record.content);
    return recordOverheadBytes + (stored ? stored->payload.size() : 0);
}

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
    peer.answeredSinceHeartbeat = true;
    peer.answeredRound = std::max(peer.answeredRound, std::min(message.heartbeatRound, step.self.heartbeatRound));
}

template<class body>
void sendBeforeSync(replica_step &step, vm_id to, body content)
{
    replication_message message = messageTo(step, to, step.self.currentTerm);
    message.body = std::move(content);
    step.beforeSync.emplace_back(send_message{std::move(message)});
}

void sendSnapshotChunk(replica_step &step, peer_progress &peer)
{
    const log_snapshot &snapshot = step.self.log.snapshot;
    if (peer.snapshotIndex != snapshot.index) {
        peer.snapshotIndex = snapshot.index;
        peer.snapshotOffset = 0;
    }
    const std::span rest = std::span(snapshot.state).subspan(peer.snapshotOffset);
    const std::span part = rest.first(std::min(rest.size(), step.self.options.maxMessageBytes));
    sendBeforeSync(step, peer.id,
                   snapshot_chunk{snapshot.index,
                                  snapshot.indexTerm,
                                  snapshot.members,
                                  snapshot.state.size(),
                                  peer.snapshotOffset,
                                  {part.begin(), part.end()}});
}

/// Sends the peer as many of the records that it lacks as one message holds, or an append without records when it lacks
/// none. A peer that needs records that are no longer kept gets a chunk of the snapshot.
void replicateTo(replica_step &step, peer_progress &peer)
{
    const replica &self = step.self;
    if (peer.nextIndex <= self.log.precedingIndex) {
        sendSnapshotChunk(step, peer);
        return;
    }
    const log_index previous{peer.nextIndex.value - 1};
    append_request request{previous, *termAt(self.log, previous), self.commitIndex, {}};
    const log_index last = lastIndex(self.log);
    std::size_t bytes = 0;
    while (peer.nextIndex <= last && (bytes == 0 || bytes < self.options.maxMessageBytes)) {
        request.records.push_back(recordAt(self.log, peer.nextIndex));
        bytes += estimatedBytes(request.records.back());
        ++peer.nextIndex.value;
    }
    sendBeforeSync(step, peer.id, std::move(request));
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
            replicateTo(step, peer);
        }
    }
    return index;
}

void broadcast(replica_step &step)
{
    for (peer_progress &peer : step.self.peers) {
        replicateTo(step, peer);
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
    for (peer_progress &peer : self.peers) {
        if (!peer.answeredSinceHeartbeat) {
            peer.nextIndex = {peer.matchIndex.value + 1}; // Records sent since matchIndex may have been lost.
        }
        peer.answeredSinceHeartbeat = false;
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
        peer->nextIndex = std::max(retry, log_index{peer->matchIndex.value + 1});
        replicateTo(step, *peer);
        return;
    }
    peer->matchIndex = std::max(peer->matchIndex, answer.matchIndex);
    peer->nextIndex = std::max(peer->nextIndex, log_index{peer->matchIndex.value + 1});
    peer->snapshotIndex = {};
    advanceCommit(step);
    // Committing a membership without this replica ends its leadership and clears the peers.
    peer = findPeer(self, message.from);
    if (peer != nullptr && peer->nextIndex <= lastIndex(self.log)) {
        replicateTo(step, *peer);
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
    if (answer.index != self.log.snapshot.index || answer.index != peer->snapshotIndex
        || answer.receivedBytes >= total) {
        return;
    }
    peer->snapshotOffset = answer.receivedBytes;
    sendSnapshotChunk(step, *peer);
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
