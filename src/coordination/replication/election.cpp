#include "coordination/replication/replica_step.h"

#include <algorithm>

namespace guavafront
{

namespace
{

void setRole(replica_step &step, replica_role role, vm_id leader, term previousTerm)
{
    replica &self = step.self;
    const bool changed = self.role != role || self.leader != leader || self.currentTerm != previousTerm;
    self.role = role;
    self.leader = leader;
    if (changed) {
        step.afterSync.emplace_back(role_changed{role, leader, self.currentTerm});
    }
}

void requestVotes(replica_step &step, bool preVote, term inTerm)
{
    const replica &self = step.self;
    for (const member &voter : self.members.members) {
        if (voter.role == voting_role::Voter && voter.id != self.options.self) {
            sendAfterSync(step, voter.id, inTerm, vote_request{preVote, lastIndex(self.log), lastTerm(self.log)});
        }
    }
}

void becomeLeader(replica_step &step)
{
    replica &self = step.self;
    setRole(step, replica_role::Leader, self.options.self, self.currentTerm);
    self.votes.clear();
    self.peers.clear();
    self.heartbeatTimes.clear();
    adoptMembership(step, {self.membersIndex, self.members});
    self.heartbeatDue = step.now + self.options.heartbeatInterval;
    self.termStartIndex = appendAsLeader(step, no_op{});
}

void becomeCandidate(replica_step &step)
{
    replica &self = step.self;
    const term previous = self.currentTerm;
    ++self.currentTerm.value;
    self.votedFor = self.options.self;
    persistVote(step);
    setRole(step, replica_role::Candidate, {}, previous);
    self.votes = {self.options.self};
    resetElectionDeadline(step);
    if (isQuorum(self.members, self.votes)) {
        becomeLeader(step);
        return;
    }
    requestVotes(step, false, self.currentTerm);
}

/// Answers a pre-vote request without any change of state. It is refused while this replica knows a live leader.
void answerPreVote(replica_step &step, const replication_message &message, const vote_request &request)
{
    const replica &self = step.self;
    const bool granted = message.inTerm > self.currentTerm && !knowsLiveLeader(step)
                         && isAtLeastAsUpToDate(self.log, request.lastIndex, request.lastTerm);
    sendAfterSync(step, message.from, granted ? message.inTerm : self.currentTerm, vote_answer{true, granted});
}

} // namespace

void resetElectionDeadline(replica_step &step)
{
    const bool hasHeardLeader = step.self.lastLeaderContact != instant{};
    const duration timeout =
        hasHeardLeader ? step.self.options.electionTimeout : step.self.options.firstElectionTimeout;
    const auto jitter = step.random % static_cast<std::uint64_t>(timeout.count());
    step.self.electionDeadline = step.now + timeout + duration(static_cast<duration::rep>(jitter));
}

bool knowsLiveLeader(const replica_step &step)
{
    return step.self.role == replica_role::Leader || isCurrent(step.self, step.now);
}

void becomeFollower(replica_step &step, term newTerm, vm_id leader)
{
    replica &self = step.self;
    const term previous = self.currentTerm;
    if (newTerm > previous) {
        self.currentTerm = newTerm;
        self.votedFor = {};
        persistVote(step);
    }
    setRole(step, replica_role::Follower, leader, previous);
    self.votes.clear();
    self.peers.clear();
    resetElectionDeadline(step);
}

void startPreVote(replica_step &step)
{
    replica &self = step.self;
    setRole(step, replica_role::PreCandidate, {}, self.currentTerm);
    self.votes = {self.options.self};
    resetElectionDeadline(step);
    if (isQuorum(self.members, self.votes)) {
        becomeCandidate(step);
        return;
    }
    requestVotes(step, true, {self.currentTerm.value + 1});
}

void checkQuorum(replica_step &step)
{
    if (step.self.role == replica_role::Leader && !isCurrent(step.self, step.now)) {
        becomeFollower(step, step.self.currentTerm, {});
    }
}

void handleVoteRequest(replica_step &step, const replication_message &message, const vote_request &request)
{
    replica &self = step.self;
    if (request.preVote) {
        answerPreVote(step, message, request);
        return;
    }
    if (message.inTerm < self.currentTerm || (message.inTerm > self.currentTerm && knowsLiveLeader(step))) {
        return;
    }
    if (message.inTerm > self.currentTerm) {
        becomeFollower(step, message.inTerm, {});
    }
    const bool voteIsFree = self.votedFor.value == 0 || self.votedFor == message.from;
    const bool granted = voteIsFree && isAtLeastAsUpToDate(self.log, request.lastIndex, request.lastTerm);
    if (granted && self.votedFor != message.from) {
        self.votedFor = message.from;
        persistVote(step);
        resetElectionDeadline(step);
    }
    sendAfterSync(step, message.from, self.currentTerm, vote_answer{false, granted});
}

void handleVoteAnswer(replica_step &step, const replication_message &message, const vote_answer &answer)
{
    replica &self = step.self;
    const bool preVoting =
        self.role == replica_role::PreCandidate && message.inTerm.value == self.currentTerm.value + 1;
    const bool voting = self.role == replica_role::Candidate && message.inTerm == self.currentTerm;
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
        becomeCandidate(step);
    } else {
        becomeLeader(step);
    }
}

} // namespace guavafront
