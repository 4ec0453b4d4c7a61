#include "coordination/replication/replica_step.h"

#include <algorithm>
#include <optional>

namespace guavafront
{

namespace
{

constexpr std::uint64_t maxLagRecords = 64; ///< Records that a member may lack and still count as caught up.

/// Returns the members that answered within the election timeout and have caught up, including the leader.
std::vector<vm_id> healthyMembers(const replica_step &step)
{
    const replica &self = step.self;
    std::vector<vm_id> healthy{self.options.self};
    for (const peer_progress &peer : self.peers) {
        const bool answeredLately = step.now - peer.lastContact < self.options.electionTimeout;
        if (answeredLately && peer.matchIndex.value + maxLagRecords >= lastIndex(self.log).value
            && peer.matchIndex >= self.termStartIndex) {
            healthy.push_back(peer.id);
        }
    }
    return healthy;
}

/// Returns whether a membership change is safe. The previous change must be committed, as must a record of the leader's
/// own term (Ongaro 2015, "bug in single-server membership changes"), and the healthy members must be a quorum both
/// before and after the change.
bool isSafeChange(const replica_step &step, const membership &changed)
{
    const replica &self = step.self;
    const bool earlierChangesCommitted =
        self.membersIndex <= self.commitIndex && self.termStartIndex <= self.commitIndex;
    const std::vector<vm_id> healthy = healthyMembers(step);
    return earlierChangesCommitted && isQuorum(self.members, healthy) && isQuorum(changed, healthy);
}

/// Returns how many voters must remain when the member is removed. Fewer suffice when it is lost or has been absent for
/// absentVoterLimit: such a voter makes a quorum harder to reach and contributes nothing to it.
std::size_t votersToKeep(const replica_step &step, const removal_proposed &proposed)
{
    const replica_options &options = step.self.options;
    const duration limit = proposed.lost ? options.lostMemberLimit : options.absentVoterLimit;
    const auto peer = std::ranges::find(step.self.peers, proposed.id, &peer_progress::id);
    const bool absent = peer != step.self.peers.end() && step.now - peer->lastContact >= limit;
    return absent ? std::min(options.minVoters, options.targetVoters) : options.targetVoters;
}

void refuse(replica_step &step, std::uint64_t ticket, result_code code)
{
    step.afterSync.emplace_back(proposal_refused{ticket, code, step.self.leader});
}

void appendMembership(replica_step &step, std::uint64_t ticket, const membership &changed)
{
    const log_index index = appendAsLeader(step, changed);
    step.afterSync.emplace_back(proposal_appended{ticket, index, step.self.currentTerm});
}

/// Returns the membership after the next step towards targetVoters or of a replacement; none when there is no such
/// step.
std::optional<membership> nextMembership(const replica_step &step)
{
    const replica &self = step.self;
    const std::vector<vm_id> healthy = healthyMembers(step);
    for (const member &each : self.members.members) {
        const bool replacing = findMember(self.members, each.replaces) != nullptr;
        if (each.role == voting_role::Voter && replacing) {
            return withoutMember(self.members, each.replaces);
        }
        const bool wanted = replacing || voterCount(self.members) < self.options.targetVoters;
        const bool caughtUp = std::ranges::find(healthy, each.id) != healthy.end();
        if (each.role == voting_role::Learner && wanted && caughtUp) {
            return withMember(self.members, {each.id, voting_role::Voter, each.replaces});
        }
    }
    return std::nullopt;
}

} // namespace

void adoptMembership(replica_step &step, const logged_membership &logged)
{
    replica &self = step.self;
    self.members = logged.members;
    self.membersIndex = logged.index;
    if (self.role != replica_role::Leader) {
        return;
    }
    std::erase_if(self.peers,
                  [&self](const peer_progress &peer) { return findMember(self.members, peer.id) == nullptr; });
    for (const member &each : self.members.members) {
        const bool known = std::ranges::find(self.peers, each.id, &peer_progress::id) != self.peers.end();
        if (!known && each.id != self.options.self) {
            const log_index next{lastIndex(self.log).value + 1};
            self.peers.push_back({.id = each.id, .nextIndex = next, .lastContact = step.now, .sentFrom = next});
        }
    }
}

void proposeLearner(replica_step &step, const learner_proposed &proposed)
{
    const replica &self = step.self;
    const member *present = findMember(self.members, proposed.id);
    const bool redirected =
        present != nullptr && present->role == voting_role::Learner && present->replaces != proposed.replaces;
    if (self.role != replica_role::Leader) {
        refuse(step, proposed.ticket, result_code::NotLeader);
    } else if (present != nullptr && !redirected) {
        refuse(step, proposed.ticket, result_code::SubjectExists);
    } else if (proposed.replaces.value != 0 && findMember(self.members, proposed.replaces) == nullptr) {
        refuse(step, proposed.ticket, result_code::SubjectUnknown);
    } else if (proposed.id.value == 0 || (present == nullptr && self.members.members.size() >= maxMembers)) {
        refuse(step, proposed.ticket, result_code::ChangeInvalid);
    } else {
        // Members that replaced this VM earlier don't replace it again.
        const membership changed = withMember(withoutMember(self.members, proposed.id),
                                              {proposed.id, voting_role::Learner, proposed.replaces});
        if (isSafeChange(step, changed)) {
            appendMembership(step, proposed.ticket, changed);
        } else {
            refuse(step, proposed.ticket, result_code::QuorumAtRisk);
        }
    }
}

void proposeRemoval(replica_step &step, const removal_proposed &proposed)
{
    const replica &self = step.self;
    if (self.role != replica_role::Leader) {
        refuse(step, proposed.ticket, result_code::NotLeader);
    } else if (findMember(self.members, proposed.id) == nullptr) {
        refuse(step, proposed.ticket, result_code::SubjectUnknown);
    } else {
        const membership changed = withoutMember(self.members, proposed.id);
        // Another voter may just have failed unnoticed. With fewer voters than votersToKeep() the log could then stop
        // permanently.
        const bool keepsVoters =
            !isVoter(self.members, proposed.id) || voterCount(changed) >= votersToKeep(step, proposed);
        if (keepsVoters && isSafeChange(step, changed)) {
            appendMembership(step, proposed.ticket, changed);
        } else {
            refuse(step, proposed.ticket, result_code::QuorumAtRisk);
        }
    }
}

void advanceMembership(replica_step &step)
{
    const std::optional<membership> changed = nextMembership(step);
    if (changed && isSafeChange(step, *changed)) {
        appendAsLeader(step, *changed);
    }
}

} // namespace guavafront
