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

/// Passes a message of the current term, or an answer to a pre-vote, to its handler.
void dispatch(replica_step &step, const replication_message &message)
{
    if (const auto *request = std::get_if<append_request>(&message.body)) {
        handleAppendRequest(step, message, *request);
    } else if (const auto *appended = std::get_if<append_answer>(&message.body)) {
        handleAppendAnswer(step, message, *appended);
    } else if (const auto *chunk = std::get_if<snapshot_chunk>(&message.body)) {
        handleSnapshotChunk(step, message, *chunk);
    } else if (const auto *received = std::get_if<snapshot_answer>(&message.body)) {
        handleSnapshotAnswer(step, message, *received);
    } else if (const auto *answer = std::get_if<vote_answer>(&message.body)) {
        handleVoteAnswer(step, message, *answer);
    }
}

/// Returns whether the sender of a message has reached the message's term. A granted pre-vote has the term that the
/// candidate would start.
bool termIsReached(const replication_message &message)
{
    const auto *answer = std::get_if<vote_answer>(&message.body);
    return answer == nullptr || !answer->preVote || !answer->granted;
}

/// Returns whether a message is for this replica and its cluster. A replica without a cluster joins that of the first
/// leader that sends it a message.
bool joinOrMatchCluster(replica_step &step, const replication_message &message)
{
    replica &self = step.self;
    if (message.to != self.options.self || message.from == self.options.self || message.cluster.value == 0) {
        return false;
    }
    if (self.cluster.value == 0 && isFromLeader(message)) {
        self.cluster = message.cluster;
        persistVote(step);
    }
    return self.cluster == message.cluster;
}

void handle(replica_step &step, const message_received &event)
{
    const replication_message &message = event.message;
    const auto *request = std::get_if<vote_request>(&message.body);
    if (!joinOrMatchCluster(step, message)) {
        if (request != nullptr && message.to == step.self.options.self) {
            reportRefusal(step, message, *request, vote_refusal::OtherCluster);
        }
        return;
    }
    step.messageRound = message.heartbeatRound;
    if (request != nullptr) {
        handleVoteRequest(step, message, *request);
        return;
    }
    if (const auto *answer = std::get_if<vote_answer>(&message.body)) {
        noteRefusal(step, message, *answer);
    }
    if (message.inTerm > step.self.currentTerm && termIsReached(message)) {
        becomeFollower(step, message.inTerm, isFromLeader(message) ? message.from : vm_id{});
    }
    if (message.inTerm < step.self.currentTerm) {
        if (isFromLeader(message)) {
            step.self.patientUntil = step.now + step.self.options.patienceTime;
            sendAfterSync(step, message.from, step.self.currentTerm, append_answer{false, lastIndex(step.self.log)});
        }
        return;
    }
    dispatch(step, message);
}

void handle(replica_step &step, const timer_fired & /*event*/)
{
    replica &self = step.self;
    if (self.role == replica_role::Leader) {
        if (step.now >= self.heartbeatDue) {
            heartbeat(step);
        }
        return;
    }
    if (step.now < self.electionDeadline || extendElectionDeadline(step)) {
        return;
    }
    if (isVoter(self.members, self.options.self)) {
        startPreVote(step);
    } else {
        resetElectionDeadline(step);
    }
}

void handle(replica_step &step, const command_proposed &event)
{
    replica &self = step.self;
    if (self.role != replica_role::Leader || !knowsLiveLeader(step)) {
        step.afterSync.emplace_back(proposal_refused{event.ticket, result_code::NotLeader, self.leader});
        return;
    }
    if (lastIndex(self.log).value - self.commitIndex.value >= self.options.maxUncommittedRecords) {
        step.afterSync.emplace_back(proposal_refused{event.ticket, result_code::NoCapacity, self.leader});
        return;
    }
    std::variant<no_op, command, membership> content = no_op{};
    if (event.payload) {
        content = command{*event.payload};
    }
    const log_index index = appendAsLeader(step, std::move(content));
    step.afterSync.emplace_back(proposal_appended{event.ticket, index, self.currentTerm});
}

void handle(replica_step &step, const learner_proposed &event)
{
    proposeLearner(step, event);
}

void handle(replica_step &step, const removal_proposed &event)
{
    proposeRemoval(step, event);
}

void handle(replica_step &step, const writes_synced &event)
{
    replica &self = step.self;
    while (!self.pendingWrites.empty() && self.pendingWrites.front().sequence <= event.sequence) {
        self.durableIndex = std::max(self.durableIndex, self.pendingWrites.front().lastIndex);
        self.pendingWrites.pop_front();
    }
    startWaitForVotes(step, event.sequence);
    if (self.role == replica_role::Leader) {
        advanceCommit(step);
    }
}

void handle(replica_step &step, const snapshot_taken &event)
{
    replica &self = step.self;
    self.snapshotRequested = false;
    if (event.index <= self.log.snapshot.index || event.index > self.appliedIndex) {
        return;
    }
    const membership members = membershipAt(self.log, event.index).members;
    self.log.snapshot = {event.index, *termAt(self.log, event.index), members, event.state};
    self.appliedBytes = estimatedBytes(self.log, event.index, self.appliedIndex);
    compactTo(self.log, compactionIndex(self.log, self.options.keptRecords, self.options.keptBytes));
    step.writes.emplace_back(write_snapshot{self.log.snapshot, self.log.precedingIndex, self.log.precedingTerm, false});
}

/// Appends the step's effects to out in the order in which the host performs them, with a numbered sync after the
/// writes.
void emit(replica_step &step, std::vector<replica_effect> &out)
{
    const bool writesAnything = !step.writes.empty();
    const bool writesVote = std::ranges::any_of(
        step.writes, [](const replica_effect &effect) { return std::holds_alternative<write_vote>(effect); });
    std::ranges::move(step.writes, std::back_inserter(out));
    if (!writesVote) { // A message may be sent in a new term only after the term is on the disk.
        std::ranges::move(step.beforeSync, std::back_inserter(out));
        step.beforeSync.clear();
    }
    if (writesAnything) {
        replica &self = step.self;
        ++self.lastSyncSequence;
        self.pendingWrites.push_back({self.lastSyncSequence, lastIndex(self.log)});
        out.emplace_back(sync_writes{self.lastSyncSequence});
    }
    std::ranges::move(step.beforeSync, std::back_inserter(out));
    std::ranges::move(step.afterSync, std::back_inserter(out));
}

} // namespace

void persistVote(replica_step &step)
{
    step.writes.emplace_back(write_vote{step.self.cluster, step.self.currentTerm, step.self.votedFor});
}

replication_message messageTo(const replica_step &step, vm_id to, term inTerm)
{
    const std::uint64_t round = step.self.role == replica_role::Leader ? step.self.heartbeatRound : step.messageRound;
    return {step.self.cluster, step.self.options.self, to, inTerm, round, vote_answer{}};
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
    replica_step step{self, now, random, 0, {}, {}, {}};
    resetElectionDeadline(step);
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
    replica_step step{self, now, random, 0, {}, {}, {}};
    checkQuorum(step);
    std::visit([&step](const auto &value) { handle(step, value); }, event);
    emit(step, out);
}

instant nextDeadline(const replica &self)
{
    return self.role == replica_role::Leader ? self.heartbeatDue : self.electionDeadline;
}

bool hasCommittedOwnTerm(const replica &self)
{
    return self.role == replica_role::Leader && self.commitIndex >= self.termStartIndex;
}

std::optional<confirmed_heartbeat> confirmedHeartbeat(const replica &self)
{
    if (!hasCommittedOwnTerm(self)) {
        return std::nullopt;
    }
    std::vector<std::uint64_t> rounds;
    if (isVoter(self.members, self.options.self)) {
        rounds.push_back(self.heartbeatRound);
    }
    for (const peer_progress &peer : self.peers) {
        if (isVoter(self.members, peer.id)) {
            rounds.push_back(peer.answeredRound);
        }
    }
    std::ranges::sort(rounds, std::greater{});
    const std::size_t quorum = quorumSize(self.members);
    const std::uint64_t behind =
        rounds.size() < quorum ? self.heartbeatRound : self.heartbeatRound - rounds[quorum - 1];
    if (behind >= self.heartbeatTimes.size()) {
        return std::nullopt;
    }
    return confirmed_heartbeat{self.heartbeatRound - behind,
                               self.heartbeatTimes[self.heartbeatTimes.size() - 1 - behind]};
}

std::optional<instant> leadershipConfirmedAt(const replica &self)
{
    const std::optional<confirmed_heartbeat> latest = confirmedHeartbeat(self);
    return latest ? std::optional(latest->sentAt) : std::nullopt;
}

duration leaderTimeout(const replica &self, instant now)
{
    const duration timeout = self.options.electionTimeout;
    return now < self.patientUntil ? timeout + timeout / 2 : timeout;
}

bool isLeaderLive(const replica &self, instant now, duration timeout)
{
    if (self.role == replica_role::Leader) {
        std::vector<vm_id> reachable{self.options.self};
        for (const peer_progress &peer : self.peers) {
            if (now - peer.lastContact < timeout) {
                reachable.push_back(peer.id);
            }
        }
        return isQuorum(self.members, reachable);
    }
    return self.leader.value != 0 && now - self.lastLeaderContact < timeout;
}

bool isCurrent(const replica &self, instant now)
{
    return isLeaderLive(self, now, self.options.electionTimeout);
}

} // namespace guavafront
