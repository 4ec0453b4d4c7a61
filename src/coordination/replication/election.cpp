#include "coordination/replication/replica_step.h"

#include <algorithm>

namespace guavafront
{

namespace
{

void setRole(replica_step &at, replica_role role, vm_id leader, term previousTerm)
{
    replica &self = at.self;
    const bool changed = self.role != role || self.leader != leader || self.currentTerm != previousTerm;
    self.role = role;
    self.leader = leader;
    if (changed) {
        at.late.emplace_back(role_changed{role, leader, self.currentTerm});
    }
}

void requestVotes(replica_step &at, bool preVote, term inTerm)
{
    const replica &self = at.self;
    for (const member &voter : self.members.members) {
        if (voter.role == voting_role::Voter && voter.id != self.options.self) {
            sendLate(at, voter.id, inTerm, vote_request{preVote, lastIndex(self.log), lastTerm(self.log)});
        }
    }
}

void becomeLeader(replica_step &at)
{
    replica &self = at.self;
    setRole(at, replica_role::Leader, self.options.self, self.currentTerm);
    self.votes.clear();
    self.peers.clear();
    self.roundTimes.clear();
    adoptMembership(at, {self.membersIndex, self.members});
    self.heartbeatDue = at.now + self.options.heartbeatInterval;
    self.termStart = appendAsLeader(at, no_op{});
}

void becomeCandidate(replica_step &at)
{
    replica &self = at.self;
    const term previous = self.currentTerm;
    ++self.currentTerm.value;
    self.votedFor = self.options.self;
    persistVote(at);
    setRole(at, replica_role::Candidate, {}, previous);
    self.votes = {self.options.self};
    resetElectionDeadline(at);
    if (isQuorum(self.members, self.votes)) {
        becomeLeader(at);
        return;
    }
    requestVotes(at, false, self.currentTerm);
}

/// Answers a pre-vote: nothing changes, and a live leader is stood by.
void answerPreVote(replica_step &at, const replication_message &message, const vote_request &request)
{
    const replica &self = at.self;
    const bool granted =
        message.at > self.currentTerm && !knowsLiveLeader(at) && isUpToDate(self.log, request.last, request.lastTerm);
    sendLate(at, message.from, granted ? message.at : self.currentTerm, vote_answer{true, granted});
}

} // namespace

void resetElectionDeadline(replica_step &at)
{
    const bool heardOne = at.self.leaderHeard != instant{};
    const duration timeout = heardOne ? at.self.options.electionTimeout : at.self.options.firstElectionTimeout;
    const auto jitter = at.random % static_cast<std::uint64_t>(timeout.count());
    at.self.electionDeadline = at.now + timeout + duration(static_cast<duration::rep>(jitter));
}

bool knowsLiveLeader(const replica_step &at)
{
    return at.self.role == replica_role::Leader || isCurrent(at.self, at.now);
}

void becomeFollower(replica_step &at, term newTerm, vm_id leader)
{
    replica &self = at.self;
    const term previous = self.currentTerm;
    if (newTerm > previous) {
        self.currentTerm = newTerm;
        self.votedFor = {};
        persistVote(at);
    }
    setRole(at, replica_role::Follower, leader, previous);
    self.votes.clear();
    self.peers.clear();
    resetElectionDeadline(at);
}

void startPreVote(replica_step &at)
{
    replica &self = at.self;
    setRole(at, replica_role::PreCandidate, {}, self.currentTerm);
    self.votes = {self.options.self};
    resetElectionDeadline(at);
    if (isQuorum(self.members, self.votes)) {
        becomeCandidate(at);
        return;
    }
    requestVotes(at, true, {self.currentTerm.value + 1});
}

void checkQuorum(replica_step &at)
{
    if (at.self.role == replica_role::Leader && !isCurrent(at.self, at.now)) {
        becomeFollower(at, at.self.currentTerm, {});
    }
}

void handleVoteRequest(replica_step &at, const replication_message &message, const vote_request &request)
{
    replica &self = at.self;
    if (request.preVote) {
        answerPreVote(at, message, request);
        return;
    }
    if (message.at < self.currentTerm || (message.at > self.currentTerm && knowsLiveLeader(at))) {
        return;
    }
    if (message.at > self.currentTerm) {
        becomeFollower(at, message.at, {});
    }
    const bool free = self.votedFor.value == 0 || self.votedFor == message.from;
    const bool granted = free && isUpToDate(self.log, request.last, request.lastTerm);
    if (granted && self.votedFor != message.from) {
        self.votedFor = message.from;
        persistVote(at);
        resetElectionDeadline(at);
    }
    sendLate(at, message.from, self.currentTerm, vote_answer{false, granted});
}

void handleVoteAnswer(replica_step &at, const replication_message &message, const vote_answer &answer)
{
    replica &self = at.self;
    const bool preVoting = self.role == replica_role::PreCandidate && message.at.value == self.currentTerm.value + 1;
    const bool voting = self.role == replica_role::Candidate && message.at == self.currentTerm;
    if (!answer.granted || !(answer.preVote ? preVoting : voting)) {
        return;
    }
    if (std::ranges::find(self.votes, message.from) == self.votes.end()) {
        self.votes.push_back(message.from);
    }
    if (!isQuorum(self.members, self.votes)) {
        return;
    }
    if (answer.preVote) {
        becomeCandidate(at);
    } else {
        becomeLeader(at);
    }
}

} // namespace guavafront
