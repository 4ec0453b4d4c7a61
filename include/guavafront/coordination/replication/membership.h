#pragma once

#include <guavafront/coordination/core/identifiers.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace guavafront
{

/// How a control VM takes part in the replicated log.
enum class voting_role : std::uint8_t {
    Learner, ///< Receives the log, but doesn't vote and doesn't count towards the quorum.
    Voter, ///< Votes and counts towards the quorum.
};

/// One control VM that takes part in the replicated log.
struct member {
    vm_id id; ///< Identity of the VM, kept in its data folder.
    voting_role role = voting_role::Learner; ///< Whether the member votes.
    vm_id replaces; ///< Member that is removed once this one is a voter; 0 for none.
    bool operator==(const member &) const = default; ///< Memberwise equality.
};

/// All members of the replicated log. Changes add, remove or promote one member at a time.
struct membership {
    std::vector<member> members; ///< Ordered by ascending id.
    bool operator==(const membership &) const = default; ///< Memberwise equality.
};

/// Maximum number of members: the configured control VMs together with those that are about to replace one of them.
constexpr std::size_t maxMembers = 16;

/// Returns the member with this identity, or null when there is none.
const member *findMember(const membership &members, vm_id id);

/// Returns whether the VM is a member with the role Voter.
bool isVoter(const membership &members, vm_id id);

/// Returns the number of voters.
std::size_t voterCount(const membership &members);

/// Returns how many votes make a majority of the voters: 1 when there are none, so that a membership without voters
/// never has a quorum.
std::size_t quorumSize(const membership &members);

/// Returns whether these VMs include a majority of the voters. VMs that aren't voters don't count.
bool isQuorum(const membership &members, std::span<const vm_id> ids);

/// Returns the membership with this member added; a member with the same id is replaced.
membership withMember(const membership &members, const member &added);

/// Returns the membership without the member of this id, which no other member then replaces, so that the VM can join
/// again.
membership withoutMember(const membership &members, vm_id id);

} // namespace guavafront
