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

/// Number of a claims view; only goes up, and one number stands for one set of members.
using view_epoch = strong_id<struct view_epoch_tag>;

/// Claims are spread over this many shards, each with home VMs of its own.
constexpr std::uint32_t claimShardCount = 64;
/// Home VMs of a shard; a majority decides.
constexpr std::size_t claimHomeCount = 5;
/// VMs that keep claims; in a larger fleet the others only make them.
constexpr std::size_t claimsMemberLimit = 64;

/// VM that keeps claims.
struct claims_member {
    vm_id id; ///< The VM.
    std::uint64_t life = 0; ///< Drawn when its claims began; what it knew is lost when it begins another one.
    std::string dataCentre; ///< Homes of a shard are spread over data centres.

    /// Orders by id.
    auto operator<=>(const claims_member &) const = default;
};

/// Agreed list of the VMs that keep claims. Views with the same epoch are equal on all VMs.
struct claims_view {
    view_epoch epoch; ///< 0 is no view.
    std::vector<claims_member> members; ///< Ordered by id.
    std::vector<claims_member> previous; ///< Members at the epoch before; empty only in the first view.

    /// Memberwise equality.
    bool operator==(const claims_view &) const = default;
};

/// Home VMs of one shard, ordered by id.
using shard_homes = std::vector<vm_id>;

/// Home VMs of all shards under one view and the one before.
struct claims_placement {
    view_epoch epoch; ///< Of the view; 0 before the first.
    std::vector<shard_homes> homes; ///< By shard.
    std::vector<shard_homes> previousHomes; ///< By shard; empty in the first view.
};

/// Shard of a key.
std::uint32_t shardOf(const claim_key &key);

/// Homes of a shard: the members with the highest hashes (rendezvous hashing, Thaler and Ravishankar 1998), no data
/// centre with more of them than an even spread needs.
shard_homes homesOf(std::span<const claims_member> members, std::uint32_t shard);

/// Homes of all shards.
claims_placement placeClaims(const claims_view &view);

/// Votes that make a majority of the homes.
std::size_t majorityOf(const shard_homes &homes);

/// Whether the VM is among the homes.
bool isHome(const shard_homes &homes, vm_id id);

/// The view that should follow: members of the present one that live, filled up from the live VMs. The present view
/// when nothing needs to change. live is ordered by id.
claims_view nextView(const claims_view &present, std::span<const claims_member> live);

} // namespace guavafront
