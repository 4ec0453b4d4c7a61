#include "coordination/replication/replica_step.h"

#include <algorithm>
#include <optional>
#include <span>

namespace guavafront
{

namespace
{

/// Returns the duration doubled so many times, as long as it is below the limit, and then the limit.
duration doubled(duration value, std::uint32_t times, duration limit)
{
    for (std::uint32_t count = 0; count < times && value < limit; ++count) {
        value = std::min(value * 2, limit);
    }
    return value;
}

bool contains(std::span<const vm_id> vms, vm_id vm)
{
    return std::ranges::find(vms, vm) != vms.end();
}

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

/// Clears the answers of the previous round; this replica grants its own vote.
void startRound(replica_step &step)
{
    step.self.votes = {step.self.options.self};
    step.self.refusals.clear();
    step.self.voteStartedAt = step.now;
    resetElectionDeadline(step);
}

/// Reports the round that is under way, if any, as failed. Only at the deadline: other voters may still be about to
/// answer a round that ends early.
void reportFailedRound(replica_step &step)
{
    const replica &self = step.self;
    if (self.role != replica_role::PreCandidate && self.role != replica_role::Candidate) {
        return;
    }
    election_failed failed{.preVote = self.role == replica_role::PreCandidate,
                           .inTerm = self.currentTerm,
                           .waited = step.now - self.voteStartedAt};
    for (const member &each : self.members.members) {
        if (each.role != voting_role::Voter) {
            continue;
        }
        if (contains(self.votes, each.id)) {
            failed.granted.push_back(each.id);
        } else if (contains(self.refusals, each.id)) {
            failed.refused.push_back(each.id);
        } else {
            failed.silent.push_back(each.id);
        }
    }
    step.afterSync.emplace_back(std::move(failed));
}

/// Reports that a follower has lost its leader, if it has one. Later rounds are those of a pre-candidate or candidate.
void reportLostLeader(replica_step &step)
{
    const replica &self = step.self;
    if (self.role == replica_role::Follower && self.leader.value != 0) {
        step.afterSync.emplace_back(leader_lost{self.leader, self.currentTerm, step.now - self.lastLeaderContact});
    }
}

void becomeLeader(replica_step &step)
{
    replica &self = step.self;
    setRole(step, replica_role::Leader, self.options.self, self.currentTerm);
    self.termsWithoutLeader = 0;
    self.failedPreVotes = 0;
    self.quorumExtended = false;
    self.votes.clear();
    self.refusals.clear();
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
    ++self.termsWithoutLeader;
    self.votedFor = self.options.self;
    persistVote(step);
    self.ownVoteSync = self.lastSyncSequence + 1;
    setRole(step, replica_role::Candidate, {}, previous);
    startRound(step);
    if (isQuorum(self.members, self.votes)) {
        becomeLeader(step);
        return;
    }
    requestVotes(step, false, self.currentTerm);
}

/// Returns why this replica refuses a pre-vote, if it does. It does while it knows a live leader.
std::optional<vote_refusal> preVoteRefusal(const replica_step &step, term inTerm, const vote_request &request)
{
    const replica &self = step.self;
    if (knowsLiveLeader(step)) {
        return vote_refusal::LeaderKnown;
    }
    if (inTerm <= self.currentTerm) {
        return vote_refusal::TermNotHigher;
    }
    return isAtLeastAsUpToDate(self.log, request.lastIndex, request.lastTerm) ? std::nullopt
                                                                              : std::optional(vote_refusal::LogBehind);
}

/// Answers a pre-vote request without any change of state.
void answerPreVote(replica_step &step, const replication_message &message, const vote_request &request)
{
    const replica &self = step.self;
    const std::optional<vote_refusal> refusal = preVoteRefusal(step, message.inTerm, request);
    if (refusal) {
        reportRefusal(step, message, request, *refusal);
    }
    sendAfterSync(step, message.from, refusal ? self.currentTerm : message.inTerm, vote_answer{true, !refusal});
}

/// Returns why a request for a vote is dropped without an answer, if it is.
std::optional<vote_refusal> dropReason(const replica_step &step, term inTerm)
{
    if (inTerm < step.self.currentTerm) {
        return vote_refusal::TermNotHigher;
    }
    const bool hasLeader = inTerm > step.self.currentTerm && knowsLiveLeader(step);
    return hasLeader ? std::optional(vote_refusal::LeaderKnown) : std::nullopt;
}

} // namespace

void resetElectionDeadline(replica_step &step)
{
    const bool hasHeardLeader = step.self.lastLeaderContact != instant{};
    const replica_options &options = step.self.options;
    const duration shortest = hasHeardLeader ? leaderTimeout(step.self, step.now) : options.firstElectionTimeout;
    const std::uint32_t furtherTerms = std::max(step.self.termsWithoutLeader, 1U) - 1;
    const duration afterPreVotes = doubled(shortest, step.self.failedPreVotes, options.electionTimeout);
    const duration timeout = doubled(afterPreVotes, furtherTerms, options.maxElectionTimeout);
    const auto jitter = step.random % static_cast<std::uint64_t>(timeout.count());
    step.self.electionDeadline = step.now + timeout + duration(static_cast<duration::rep>(jitter));
    step.self.deadlineExtended = false;
}

bool extendElectionDeadline(replica_step &step)
{
    replica &self = step.self;
    const bool wasHeldUp = step.now - self.electionDeadline >= self.options.heldUpLimit;
    if (self.deadlineExtended || !wasHeldUp) {
        return false;
    }
    const duration interval = self.options.heartbeatInterval;
    const auto jitter = step.random % static_cast<std::uint64_t>(interval.count());
    self.electionDeadline = step.now + interval + duration(static_cast<duration::rep>(jitter));
    self.deadlineExtended = true;
    return true;
}

bool knowsLiveLeader(const replica_step &step)
{
    return isLeaderLive(step.self, step.now, leaderTimeout(step.self, step.now));
}

void becomeFollower(replica_step &step, term newTerm, vm_id leader)
{
    replica &self = step.self;
    const term previous = self.currentTerm;
    if (newTerm > previous) {
        self.currentTerm = newTerm;
        ++self.termsWithoutLeader;
        self.votedFor = {};
        persistVote(step);
    }
    setRole(step, replica_role::Follower, leader, previous);
    self.votes.clear();
    self.refusals.clear();
    self.peers.clear();
    resetElectionDeadline(step);
}

void startPreVote(replica_step &step)
{
    replica &self = step.self;
    reportLostLeader(step);
    reportFailedRound(step);
    if (self.role == replica_role::PreCandidate) {
        ++self.failedPreVotes;
    }
    setRole(step, replica_role::PreCandidate, {}, self.currentTerm);
    startRound(step);
    if (isQuorum(self.members, self.votes)) {
        becomeCandidate(step);
        return;
    }
    requestVotes(step, true, {self.currentTerm.value + 1});
}

void startWaitForVotes(replica_step &step, std::uint64_t synced)
{
    replica &self = step.self;
    if (self.role == replica_role::Candidate && self.ownVoteSync != 0 && self.ownVoteSync <= synced) {
        self.ownVoteSync = 0;
        self.voteStartedAt = step.now;
        resetElectionDeadline(step);
    }
}

void checkQuorum(replica_step &step)
{
    replica &self = step.self;
    const duration timeout = leaderTimeout(self, step.now);
    if (self.role != replica_role::Leader || isLeaderLive(self, step.now, timeout)) {
        self.quorumExtended = false;
        return;
    }
    // Answers may wait to be read. Only once, since a leader that hears nobody must not keep its followers.
    if (!self.quorumExtended && step.now - self.heartbeatDue >= self.options.heldUpLimit) {
        self.heldUpUntil = step.now;
        self.quorumExtended = true;
    }
    if (self.quorumExtended && step.now - self.heldUpUntil < timeout) {
        return;
    }
    quorum_lost lost{.inTerm = self.currentTerm};
    if (isVoter(self.members, self.options.self)) {
        lost.answered.push_back(self.options.self);
    }
    for (const peer_progress &peer : self.peers) {
        if (isVoter(self.members, peer.id)) {
            const duration silence = step.now - peer.lastContact;
            if (silence < timeout) {
                lost.answered.push_back(peer.id);
            } else {
                lost.silent.push_back({peer.id, silence, dataUnderWay(self, peer)});
            }
        }
    }
    step.afterSync.emplace_back(std::move(lost));
    becomeFollower(step, self.currentTerm, {});
}

void handleVoteRequest(replica_step &step, const replication_message &message, const vote_request &request)
{
    replica &self = step.self;
    if (request.preVote) {
        answerPreVote(step, message, request);
        return;
    }
    if (const std::optional<vote_refusal> dropped = dropReason(step, message.inTerm)) {
        reportRefusal(step, message, request, *dropped);
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
    if (!granted) {
        reportRefusal(step, message, request, voteIsFree ? vote_refusal::LogBehind : vote_refusal::VoteTaken);
    }
    sendAfterSync(step, message.from, self.currentTerm, vote_answer{false, granted});
}

void reportRefusal(replica_step &step, const replication_message &message, const vote_request &request,
                   vote_refusal reason)
{
    const replica &self = step.self;
    vote_refused refused{.reason = reason,
                         .preVote = request.preVote,
                         .candidate = message.from,
                         .inTerm = message.inTerm,
                         .ownTerm = self.currentTerm,
                         .candidateLog = {request.lastIndex, request.lastTerm},
                         .ownLog = {lastIndex(self.log), lastTerm(self.log)}};
    if (reason == vote_refusal::LeaderKnown) {
        refused.preferred = self.leader;
        refused.sinceLeader = self.role == replica_role::Leader ? duration(0) : step.now - self.lastLeaderContact;
    } else if (reason == vote_refusal::VoteTaken) {
        refused.preferred = self.votedFor;
    }
    step.afterSync.emplace_back(refused);
}

void noteRefusal(replica_step &step, const replication_message &message, const vote_answer &answer)
{
    replica &self = step.self;
    const bool voting = self.role == replica_role::Candidate && message.inTerm >= self.currentTerm;
    const bool underWay = answer.preVote ? self.role == replica_role::PreCandidate : voting;
    if (!answer.granted && underWay && !contains(self.refusals, message.from)) {
        self.refusals.push_back(message.from);
    }
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
    if (!contains(self.votes, message.from)) {
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
