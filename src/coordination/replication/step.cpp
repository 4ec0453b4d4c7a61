#include "coordination/replication/replica_step.h"

#include <algorithm>
#include <functional>
#include <iterator>

namespace guavafront
{

namespace
{

bool isFromLeader(const replication_message &message)
{
    return std::holds_alternative<append_request>(message.body) || std::holds_alternative<snapshot_chunk>(message.body);
}

/// Takes a message of the current term, or a pre-vote.
void dispatch(replica_step &at, const replication_message &message)
{
    if (const auto *request = std::get_if<append_request>(&message.body)) {
        handleAppendRequest(at, message, *request);
    } else if (const auto *appended = std::get_if<append_answer>(&message.body)) {
        handleAppendAnswer(at, message, *appended);
    } else if (const auto *chunk = std::get_if<snapshot_chunk>(&message.body)) {
        handleSnapshotChunk(at, message, *chunk);
    } else if (const auto *received = std::get_if<snapshot_answer>(&message.body)) {
        handleSnapshotAnswer(at, message, *received);
    } else if (const auto *answer = std::get_if<vote_answer>(&message.body)) {
        handleVoteAnswer(at, message, *answer);
    }
}

/// Whether the term of a message is one that its sender has reached, not one that it asks about.
bool termIsReached(const replication_message &message)
{
    const auto *answer = std::get_if<vote_answer>(&message.body);
    return answer == nullptr || !answer->preVote || !answer->granted;
}

/// Drops foreign messages and joins the cluster of the first leader that speaks to a VM without one.
bool acceptsCluster(replica_step &at, const replication_message &message)
{
    replica &self = at.self;
    if (message.to != self.options.self || message.from == self.options.self || message.cluster.value == 0) {
        return false;
    }
    if (self.cluster.value == 0 && isFromLeader(message)) {
        self.cluster = message.cluster;
        persistVote(at);
    }
    return self.cluster == message.cluster;
}

void handle(replica_step &at, const message_received &event)
{
    const replication_message &message = event.message;
    if (!acceptsCluster(at, message)) {
        return;
    }
    at.answeredRound = message.round;
    if (const auto *request = std::get_if<vote_request>(&message.body)) {
        handleVoteRequest(at, message, *request);
        return;
    }
    if (message.at > at.self.currentTerm && termIsReached(message)) {
        becomeFollower(at, message.at, isFromLeader(message) ? message.from : vm_id{});
    }
    if (message.at < at.self.currentTerm) {
        if (isFromLeader(message)) {
            sendLate(at, message.from, at.self.currentTerm, append_answer{false, lastIndex(at.self.log)});
        }
        return;
    }
    dispatch(at, message);
}

void handle(replica_step &at, const timer_fired & /*event*/)
{
    replica &self = at.self;
    if (self.role == replica_role::Leader) {
        if (at.now >= self.heartbeatDue) {
            heartbeat(at);
        }
        return;
    }
    if (at.now < self.electionDeadline) {
        return;
    }
    if (isVoter(self.members, self.options.self)) {
        startPreVote(at);
    } else {
        resetElectionDeadline(at);
    }
}

void handle(replica_step &at, const command_proposed &event)
{
    replica &self = at.self;
    if (self.role != replica_role::Leader) {
        at.late.emplace_back(proposal_refused{event.ticket, result_code::NotLeader, self.leader});
        return;
    }
    if (lastIndex(self.log).value - self.commitIndex.value >= self.options.maxUncommittedRecords) {
        at.late.emplace_back(proposal_refused{event.ticket, result_code::NoCapacity, self.leader});
        return;
    }
    std::variant<no_op, command, membership> content = no_op{};
    if (event.payload) {
        content = command{*event.payload};
    }
    const log_index index = appendAsLeader(at, std::move(content));
    at.late.emplace_back(proposal_appended{event.ticket, index, self.currentTerm});
}

void handle(replica_step &at, const learner_proposed &event)
{
    proposeLearner(at, event);
}

void handle(replica_step &at, const removal_proposed &event)
{
    proposeRemoval(at, event);
}

void handle(replica_step &at, const writes_synced &event)
{
    replica &self = at.self;
    while (!self.pending.empty() && self.pending.front().sequence <= event.sequence) {
        self.durableIndex = std::max(self.durableIndex, self.pending.front().last);
        self.pending.pop_front();
    }
    if (self.role == replica_role::Leader) {
        advanceCommit(at);
    }
}

void handle(replica_step &at, const snapshot_taken &event)
{
    replica &self = at.self;
    self.snapshotWanted = false;
    if (event.index <= self.log.snapshot.index || event.index > self.appliedIndex) {
        return;
    }
    const membership members = membershipAt(self.log, event.index).members;
    self.log.snapshot = {event.index, *termAt(self.log, event.index), members, event.state};
    if (event.index.value > self.options.keptRecords) {
        compactTo(self.log, {event.index.value - self.options.keptRecords});
    }
    at.storage.emplace_back(write_snapshot{self.log.snapshot, self.log.precedingIndex, self.log.precedingTerm, false});
}

/// Orders the step's effects and numbers its sync.
void emit(replica_step &at, std::vector<replica_effect> &out)
{
    const bool writes = !at.storage.empty();
    const bool votes = std::ranges::any_of(
        at.storage, [](const replica_effect &effect) { return std::holds_alternative<write_vote>(effect); });
    std::ranges::move(at.storage, std::back_inserter(out));
    if (!votes) { // A term may be spoken for only once it is on the disk.
        std::ranges::move(at.early, std::back_inserter(out));
        at.early.clear();
    }
    if (writes) {
        replica &self = at.self;
        ++self.lastWrite;
        self.pending.push_back({self.lastWrite, lastIndex(self.log)});
        out.emplace_back(sync_writes{self.lastWrite});
    }
    std::ranges::move(at.early, std::back_inserter(out));
    std::ranges::move(at.late, std::back_inserter(out));
}

} // namespace

void persistVote(replica_step &at)
{
    at.storage.emplace_back(write_vote{at.self.cluster, at.self.currentTerm, at.self.votedFor});
}

replication_message messageTo(const replica_step &at, vm_id to, term inTerm)
{
    const std::uint64_t round = at.self.role == replica_role::Leader ? at.self.round : at.answeredRound;
    return {at.self.cluster, at.self.options.self, to, inTerm, round, vote_answer{}};
}

replica restore(const replica_options &options, const stored_state &stored, instant now, std::uint64_t random)
{
    replica self;
    self.options = options;
    self.cluster = stored.cluster;
    self.currentTerm = std::max(stored.currentTerm, lastTerm(stored.log));
    self.votedFor = stored.currentTerm == self.currentTerm ? stored.votedFor : vm_id{};
    self.log = stored.log;
    const logged_membership logged = membershipAt(self.log, lastIndex(self.log));
    self.members = logged.members;
    self.membersIndex = logged.index;
    self.commitIndex = self.log.snapshot.index;
    self.appliedIndex = self.log.snapshot.index;
    self.durableIndex = lastIndex(self.log);
    replica_step at{self, now, random, 0, {}, {}, {}};
    resetElectionDeadline(at);
    return self;
}

stored_state bootstrapState(cluster_id cluster, std::span<const vm_id> founders)
{
    stored_state state;
    state.cluster = cluster;
    for (const vm_id founder : founders) {
        membership &members = state.log.snapshot.members;
        members = withMember(members, {.id = founder, .role = voting_role::Voter, .replaces = {}});
    }
    return state;
}

void step(replica &self, const replica_event &event, instant now, std::uint64_t random,
          std::vector<replica_effect> &out)
{
    replica_step at{self, now, random, 0, {}, {}, {}};
    checkQuorum(at);
    std::visit([&at](const auto &value) { handle(at, value); }, event);
    emit(at, out);
}

instant nextDeadline(const replica &self)
{
    return self.role == replica_role::Leader ? self.heartbeatDue : self.electionDeadline;
}

std::optional<instant> confirmedAt(const replica &self)
{
    if (self.role != replica_role::Leader || self.commitIndex < self.termStart) {
        return std::nullopt;
    }
    std::vector<std::uint64_t> rounds;
    if (isVoter(self.members, self.options.self)) {
        rounds.push_back(self.round);
    }
    for (const peer_progress &peer : self.peers) {
        if (isVoter(self.members, peer.id)) {
            rounds.push_back(peer.round);
        }
    }
    std::ranges::sort(rounds, std::greater{});
    const std::size_t quorum = quorumOf(self.members);
    const std::uint64_t behind = rounds.size() < quorum ? self.round : self.round - rounds[quorum - 1];
    if (behind >= self.roundTimes.size()) {
        return std::nullopt;
    }
    return self.roundTimes[self.roundTimes.size() - 1 - behind];
}

bool isCurrent(const replica &self, instant now)
{
    if (self.role == replica_role::Leader) {
        std::vector<vm_id> heard{self.options.self};
        for (const peer_progress &peer : self.peers) {
            if (now - peer.heard < self.options.electionTimeout) {
                heard.push_back(peer.id);
            }
        }
        return isQuorum(self.members, heard);
    }
    return self.leader.value != 0 && now - self.leaderHeard < self.options.electionTimeout;
}

} // namespace guavafront
