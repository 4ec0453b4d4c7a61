#include "coordination/replication/replica_step.h"

#include <algorithm>
#include <optional>

namespace guavafront
{

namespace
{

constexpr std::uint64_t caughtUpRecords = 64; ///< Records that a healthy member may still lack.

/// Members that answered within the election timeout and are caught up, the leader included.
std::vector<vm_id> healthyMembers(const replica_step &at)
{
    const replica &self = at.self;
    std::vector<vm_id> healthy{self.options.self};
    for (const peer_progress &peer : self.peers) {
        const bool heard = at.now - peer.heard < self.options.electionTimeout;
        if (heard && peer.match.value + caughtUpRecords >= lastIndex(self.log).value && peer.match >= self.termStart) {
            healthy.push_back(peer.id);
        }
    }
    return healthy;
}

/// One change at a time, and only once the leader has committed a record of its own term (Ongaro 2015, "bug in
/// single-server membership changes"), with healthy members that are a quorum before and after.
bool isSafe(const replica_step &at, const membership &changed)
{
    const replica &self = at.self;
    const bool settled = self.membersIndex <= self.commitIndex && self.termStart <= self.commitIndex;
    const std::vector<vm_id> healthy = healthyMembers(at);
    return settled && isQuorum(self.members, healthy) && isQuorum(changed, healthy);
}

/// Voters that must remain when the member is removed. One that is gone for good holds up a quorum and adds nothing.
std::size_t votersToKeep(const replica_step &at, vm_id leaving)
{
    const replica_options &options = at.self.options;
    const auto peer = std::ranges::find(at.self.peers, leaving, &peer_progress::id);
    const bool gone = peer != at.self.peers.end() && at.now - peer->heard >= options.absentVoterLimit;
    return gone ? std::min(options.leastVoters, options.targetVoters) : options.targetVoters;
}

void refuse(replica_step &at, std::uint64_t ticket, result_code code)
{
    at.late.emplace_back(proposal_refused{ticket, code, at.self.leader});
}

void appendMembership(replica_step &at, std::uint64_t ticket, const membership &changed)
{
    const log_index index = appendAsLeader(at, changed);
    at.late.emplace_back(proposal_appended{ticket, index, at.self.currentTerm});
}

/// The next step of growth or of a replacement; none when nothing is to be done.
std::optional<membership> nextMembership(const replica_step &at)
{
    const replica &self = at.self;
    const std::vector<vm_id> healthy = healthyMembers(at);
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

void adoptMembership(replica_step &at, const logged_membership &logged)
{
    replica &self = at.self;
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
            self.peers.push_back({.id = each.id, .next = {lastIndex(self.log).value + 1}, .heard = at.now});
        }
    }
}

void proposeLearner(replica_step &at, const learner_proposed &proposed)
{
    const replica &self = at.self;
    const member *present = findMember(self.members, proposed.id);
    const bool redirected =
        present != nullptr && present->role == voting_role::Learner && present->replaces != proposed.replaces;
    if (self.role != replica_role::Leader) {
        refuse(at, proposed.ticket, result_code::NotLeader);
    } else if (present != nullptr && !redirected) {
        refuse(at, proposed.ticket, result_code::SubjectExists);
    } else if (proposed.replaces.value != 0 && findMember(self.members, proposed.replaces) == nullptr) {
        refuse(at, proposed.ticket, result_code::SubjectUnknown);
    } else if (proposed.id.value == 0 || (present == nullptr && self.members.members.size() >= maxMembers)) {
        refuse(at, proposed.ticket, result_code::ChangeInvalid);
    } else {
        const membership changed = withMember(self.members, {proposed.id, voting_role::Learner, proposed.replaces});
        if (isSafe(at, changed)) {
            appendMembership(at, proposed.ticket, changed);
        } else {
            refuse(at, proposed.ticket, result_code::QuorumAtRisk);
        }
    }
}

void proposeRemoval(replica_step &at, const removal_proposed &proposed)
{
    const replica &self = at.self;
    if (self.role != replica_role::Leader) {
        refuse(at, proposed.ticket, result_code::NotLeader);
    } else if (findMember(self.members, proposed.id) == nullptr) {
        refuse(at, proposed.ticket, result_code::SubjectUnknown);
    } else {
        const membership changed = withoutMember(self.members, proposed.id);
        // A voter may die unnoticed just before; with fewer voters than wanted that could stop the log for good.
        const bool keepsVoters =
            !isVoter(self.members, proposed.id) || voterCount(changed) >= votersToKeep(at, proposed.id);
        if (keepsVoters && isSafe(at, changed)) {
            appendMembership(at, proposed.ticket, changed);
        } else {
            refuse(at, proposed.ticket, result_code::QuorumAtRisk);
        }
    }
}

void advanceMembership(replica_step &at)
{
    const std::optional<membership> changed = nextMembership(at);
    if (changed && isSafe(at, *changed)) {
        appendAsLeader(at, *changed);
    }
}

} // namespace guavafront
