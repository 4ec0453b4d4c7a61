#pragma once

#include <guavafront/coordination/claims/claim.h>
#include <guavafront/coordination/core/identifiers.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace guavafront
{

/// Number of a claims view. Epochs only increase, and an epoch identifies one set of members.
using view_epoch = strong_id<struct view_epoch_tag>;

/// Number of shards that claims are distributed over. Each shard has its own home VMs.
constexpr std::uint32_t claimShardCount = 64;
/// Number of home VMs of a shard. A majority of them grants a claim.
constexpr std::size_t claimHomeCount = 5;
/// Maximum number of VMs that store claims. In a larger fleet the other VMs only make claims.
constexpr std::size_t claimsMemberLimit = 64;

/// A VM that stores claims.
struct claims_member {
    vm_id id; ///< Identity of the VM.
    /// Random number of its claims state. A new state has another life and none of the earlier records.
    std::uint64_t life = 0;
    std::string dataCentre; ///< Data centre of the VM. The homes of a shard are spread over data centres.

    /// Orders members by id, then by the other fields.
    auto operator<=>(const claims_member &) const = default;
};

/// Agreed list of the VMs that store claims. Views with the same epoch are equal on all VMs.
struct claims_view {
    view_epoch epoch; ///< Number of the view; 0 means that there is no view yet.
    std::vector<claims_member> members; ///< Members of the view, ordered by id.
    /// Members of the view with the preceding epoch; empty only in the first view.
    std::vector<claims_member> previous;

    /// Memberwise equality.
    bool operator==(const claims_view &) const = default;
};

/// Home VMs of one shard, ordered by id.
using shard_homes = std::vector<vm_id>;

/// Home VMs of all shards under a view and under the view before it.
struct claims_placement {
    view_epoch epoch; ///< Epoch of the view; 0 before the first view.
    std::vector<shard_homes> homes; ///< Homes under the view, by shard; empty before the first view.
    std::vector<shard_homes> previousHomes; ///< Homes under the preceding view, by shard; empty in the first view.
};

/// Returns the shard of a key.
std::uint32_t shardOf(const claim_key &key);

/// Returns the homes of a shard: the members with the highest hashes (rendezvous hashing, Thaler and Ravishankar 1998),
/// with no more of them in one data centre than an even distribution needs. The limit is exceeded only when the other
/// data centres have too few members.
shard_homes homesOf(std::span<const claims_member> members, std::uint32_t shard);

/// Returns the homes of all shards.
claims_placement placeClaims(const claims_view &view);

/// Returns the number of votes that make a majority of the homes.
std::size_t majorityOf(const shard_homes &homes);

/// Whether the VM is one of the homes.
bool isHome(const shard_homes &homes, vm_id id);

/// Returns the view that should follow the present one: the live members of the present view, filled up to
/// claimsMemberLimit with other live VMs. Returns the present view when its members need no change, or when no VM is
/// live. live must be ordered by id.
claims_view nextView(const claims_view &present, std::span<const claims_member> live);

} // namespace guavafront
