#include <guavafront/coordination/claims/claims_view.h>

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

namespace guavafront
{

namespace
{

/// A member as a candidate for a home of one shard.
struct candidate {
    std::uint64_t weight; ///< Hash of the member and the shard. The members with the highest weights become homes.
    vm_id id; ///< Identity of the member.
    std::size_t dataCentre; ///< Number of its data centre in the candidate_list.

    /// Orders candidates by weight, then by id.
    auto operator<=>(const candidate &) const = default; // NOLINT(modernize-use-nullptr): false on a defaulted <=>.
};

/// Members whose data centres are numbered consecutively from 0.
struct candidate_list {
    std::vector<candidate> members; ///< All members. Their weights are recomputed for each shard.
    std::size_t dataCentres = 0; ///< Number of data centres.
};

candidate_list makeCandidates(std::span<const claims_member> members)
{
    std::map<std::string_view, std::size_t> numbers;
    candidate_list list;
    for (const claims_member &each : members) {
        const std::size_t number = numbers.emplace(each.dataCentre, numbers.size()).first->second;
        list.members.push_back({.weight = 0, .id = each.id, .dataCentre = number});
    }
    list.dataCentres = numbers.size();
    return list;
}

shard_homes chooseHomes(candidate_list &list, std::uint32_t shard)
{
    for (candidate &each : list.members) {
        each.weight = XXH3_64bits_withSeed(&each.id.value, sizeof each.id.value, shard);
    }
    std::ranges::sort(list.members, std::ranges::greater());
    const std::size_t wanted = std::min(claimHomeCount, list.members.size());
    const std::size_t limit = list.dataCentres == 0 ? 0 : (wanted + list.dataCentres - 1) / list.dataCentres;
    std::vector<std::size_t> counts(list.dataCentres);
    shard_homes homes;
    for (const candidate &each : list.members) {
        if (homes.size() < wanted && counts[each.dataCentre] < limit) {
            ++counts[each.dataCentre];
            homes.push_back(each.id);
        }
    }
    // Fills up without regard to the limit when a data centre has too few members.
    for (const candidate &each : list.members) {
        if (homes.size() < wanted && std::ranges::find(homes, each.id) == homes.end()) {
            homes.push_back(each.id);
        }
    }
    std::ranges::sort(homes);
    return homes;
}

std::vector<shard_homes> chooseAllHomes(std::span<const claims_member> members)
{
    candidate_list list = makeCandidates(members);
    std::vector<shard_homes> homes;
    homes.reserve(claimShardCount);
    for (std::uint32_t shard = 0; shard < claimShardCount; ++shard) {
        homes.push_back(chooseHomes(list, shard));
    }
    return homes;
}

bool containsMember(std::span<const claims_member> members, vm_id id)
{
    return std::ranges::binary_search(members, id, {}, &claims_member::id);
}

/// Adds a live VM that is no member yet, from the data centre with the fewest members. Returns false when all live VMs
/// are members.
bool addMember(std::vector<claims_member> &members, std::span<const claims_member> live)
{
    std::map<std::string_view, std::size_t> counts;
    for (const claims_member &each : members) {
        ++counts[each.dataCentre];
    }
    const claims_member *best = nullptr;
    for (const claims_member &each : live) {
        if (!containsMember(members, each.id) && (!best || counts[each.dataCentre] < counts[best->dataCentre])) {
            best = &each;
        }
    }
    if (!best) {
        return false;
    }
    members.insert(std::ranges::lower_bound(members, best->id, {}, &claims_member::id), *best);
    return true;
}

} // namespace

claim_key makeClaimKey(account_id owner, std::string_view idempotencyKey)
{
    const XXH128_hash_t hash = XXH3_128bits_withSeed(idempotencyKey.data(), idempotencyKey.size(), owner.value);
    return {.owner = owner, .high = hash.high64, .low = hash.low64};
}

std::uint32_t shardOf(const claim_key &key)
{
    return static_cast<std::uint32_t>(key.low % claimShardCount);
}

shard_homes homesOf(std::span<const claims_member> members, std::uint32_t shard)
{
    candidate_list list = makeCandidates(members);
    return chooseHomes(list, shard);
}

claims_placement placeClaims(const claims_view &view)
{
    claims_placement placement{.epoch = view.epoch, .homes = chooseAllHomes(view.members), .previousHomes = {}};
    if (!view.previous.empty()) {
        placement.previousHomes = chooseAllHomes(view.previous);
    }
    return placement;
}

std::size_t majorityOf(const shard_homes &homes)
{
    return homes.size() / 2 + 1;
}

bool isHome(const shard_homes &homes, vm_id id)
{
    return std::ranges::binary_search(homes, id);
}

claims_view nextView(const claims_view &present, std::span<const claims_member> live)
{
    claims_view next{.epoch = {present.epoch.value + 1}, .members = {}, .previous = present.members};
    std::ranges::copy_if(present.members, std::back_inserter(next.members),
                         [live](const claims_member &each) { return std::ranges::binary_search(live, each); });
    while (next.members.size() < claimsMemberLimit && addMember(next.members, live)) {
    }
    return next.members.empty() || next.members == present.members ? present : next;
}

} // namespace guavafront
