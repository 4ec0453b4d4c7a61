#include "coordination/replication/replica_step.h"

#include <algorithm>
#include <functional>

namespace guavafront
{

namespace
{

constexpr std::size_t recordOverheadBytes = 64; ///< Share of a message that a record takes besides its payload.

std::size_t sizeOf(const log_record &record)
{
    const auto *stored = std::get_if<command>(&record.content);
    return recordOverheadBytes + (stored ? stored->payload.size() : 0);
}

/// Heartbeats whose times are remembered.
constexpr std::size_t maxRounds = 64;

peer_progress *findPeer(replica &self, vm_id id)
{
    const auto found = std::ranges::find(self.peers, id, &peer_progress::id);
    return found == self.peers.end() ? nullptr : &*found;
}

void noteAnswer(const replica_step &at, peer_progress &peer, const replication_message &message)
{
    peer.heard = at.now;
    peer.answered = true;
    peer.round = std::max(peer.round, std::min(message.round, at.self.round));
}

template<class body>
void sendEarly(replica_step &at, vm_id to, body content)
{
    replication_message message = messageTo(at, to, at.self.currentTerm);
    message.body = std::move(content);
    at.early.emplace_back(send_message{std::move(message)});
}

void sendChunk(replica_step &at, peer_progress &peer)
{
    const log_snapshot &snapshot = at.self.log.snapshot;
    if (peer.snapshotIndex != snapshot.index) {
        peer.snapshotIndex = snapshot.index;
        peer.snapshotOffset = 0;
    }
    const std::span rest = std::span(snapshot.state).subspan(peer.snapshotOffset);
    const std::span part = rest.first(std::min(rest.size(), at.self.options.maxMessageBytes));
    sendEarly(at, peer.id,
              snapshot_chunk{snapshot.index,
                             snapshot.at,
                             snapshot.members,
                             snapshot.state.size(),
                             peer.snapshotOffset,
                             {part.begin(), part.end()}});
}

/// Sends what the peer lacks, as far as one message holds it; an empty append when it lacks nothing.
void sendTo(replica_step &at, peer_progress &peer)
{
    const replica &self = at.self;
    if (peer.next <= self.log.precedingIndex) {
        sendChunk(at, peer);
        return;
    }
    const log_index previous{peer.next.value - 1};
    append_request request{previous, *termAt(self.log, previous), self.commitIndex, {}};
    const log_index last = lastIndex(self.log);
    std::size_t bytes = 0;
    while (peer.next <= last && (bytes == 0 || bytes < self.options.maxMessageBytes)) {
        request.records.push_back(recordAt(self.log, peer.next));
        bytes += sizeOf(request.records.back());
        ++peer.next.value;
    }
    sendEarly(at, peer.id, std::move(request));
}

} // namespace

log_index appendAsLeader(replica_step &at, std::variant<no_op, command, membership> content)
{
    replica &self = at.self;
    const log_index index{lastIndex(self.log).value + 1};
    self.log.records.push_back({index, self.currentTerm, std::move(content)});
    const log_record &record = self.log.records.back();
    at.storage.emplace_back(append_records{{record}});
    if (const auto *members = std::get_if<membership>(&record.content)) {
        adoptMembership(at, {index, *members});
    }
    for (peer_progress &peer : self.peers) {
        if (peer.next == index) {
            sendTo(at, peer);
        }
    }
    return index;
}

void broadcast(replica_step &at)
{
    for (peer_progress &peer : at.self.peers) {
        sendTo(at, peer);
    }
}

void heartbeat(replica_step &at)
{
    replica &self = at.self;
    self.heartbeatDue = at.now + self.options.heartbeatInterval;
    ++self.round;
    self.roundTimes.push_back(at.now);
    if (self.roundTimes.size() > maxRounds) {
        self.roundTimes.pop_front();
    }
    for (peer_progress &peer : self.peers) {
        if (!peer.answered) {
            peer.next = {peer.match.value + 1}; // What was sent since may be lost.
        }
        peer.answered = false;
    }
    broadcast(at);
    advanceMembership(at);
}

void handleAppendAnswer(replica_step &at, const replication_message &message, const append_answer &answer)
{
    replica &self = at.self;
    peer_progress *peer = findPeer(self, message.from);
    if (self.role != replica_role::Leader || peer == nullptr || answer.match > lastIndex(self.log)) {
        return;
    }
    noteAnswer(at, *peer, message);
    if (!answer.accepted) {
        const log_index retry{std::min(answer.match.value + 1, peer->next.value)};
        peer->next = std::max(retry, log_index{peer->match.value + 1});
        sendTo(at, *peer);
        return;
    }
    peer->match = std::max(peer->match, answer.match);
    peer->next = std::max(peer->next, log_index{peer->match.value + 1});
    peer->snapshotIndex = {};
    advanceCommit(at);
    peer = findPeer(self, message.from); // A commit may end the leadership.
    if (peer != nullptr && peer->next <= lastIndex(self.log)) {
        sendTo(at, *peer);
    }
}

void handleSnapshotAnswer(replica_step &at, const replication_message &message, const snapshot_answer &answer)
{
    replica &self = at.self;
    peer_progress *peer = findPeer(self, message.from);
    if (self.role != replica_role::Leader || peer == nullptr) {
        return;
    }
    noteAnswer(at, *peer, message);
    const std::uint64_t total = self.log.snapshot.state.size();
    if (answer.index != self.log.snapshot.index || answer.index != peer->snapshotIndex
        || answer.receivedBytes >= total) {
        return;
    }
    peer->snapshotOffset = answer.receivedBytes;
    sendChunk(at, *peer);
}

void advanceCommit(replica_step &at)
{
    replica &self = at.self;
    std::vector<log_index> matches;
    if (isVoter(self.members, self.options.self)) {
        matches.push_back(self.durableIndex);
    }
    for (const peer_progress &peer : self.peers) {
        if (isVoter(self.members, peer.id)) {
            matches.push_back(peer.match);
        }
    }
    std::ranges::sort(matches, std::greater{});
    const std::size_t quorum = quorumOf(self.members);
    if (matches.size() < quorum) {
        return;
    }
    const log_index candidate = matches[quorum - 1];
    if (candidate <= self.commitIndex || termAt(self.log, candidate) != self.currentTerm) {
        return; // Records of earlier terms are committed by one of the leader's own (2014, section 5.4.2).
    }
    commitUpTo(at, candidate);
    broadcast(at);
}

} // namespace guavafront
