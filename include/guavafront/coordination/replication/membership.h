#pragma once

#include <guavafront/coordination/core/identifiers.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace guavafront
{

/// Part that a control VM takes in the replicated log.
enum class voting_role : std::uint8_t {
    Learner, ///< Receives the log; doesn't vote and doesn't count for the quorum.
    Voter, ///< Votes and counts for the quorum.
};

/// One control VM of the replicated log.
struct member {
    vm_id id; ///< Identity from its data folder.
    voting_role role = voting_role::Learner; ///< Its part.
    vm_id replaces; ///< Member to be removed once this one votes; 0 for none.
    bool operator==(const member &) const = default; ///< Memberwise equality.
};

/// The control VMs; changed by one member at a time.
struct membership {
    std::vector<member> members; ///< Ordered by id.
    bool operator==(const membership &) const = default; ///< Memberwise equality.
};

/// Members at most: the control VMs that may be set aside and those that are about to replace one of them.
constexpr std::size_t maxMembers = 16;

/// The member with this identity; null when there is none.
const member *findMember(const membership &members, vm_id id);

/// Whether the VM is a voter.
bool isVoter(const membership &members, vm_id id);

/// Number of voters.
std::size_t voterCount(const membership &members);

/// Votes that make a majority of the voters; 1 when there are none, so that no set without voters ever has a quorum.
std::size_t quorumSize(const membership &members);

/// Whether the VMs hold a majority of the voters; VMs that aren't voters don't count.
bool isQuorum(const membership &members, std::span<const vm_id> ids);

/// The membership with the member added, or replaced when its id is there.
membership withMember(const membership &members, const member &added);

/// The membership without the member.
membership withoutMember(const membership &members, vm_id id);

} // namespace guavafront
