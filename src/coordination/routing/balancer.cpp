#include <guavafront/coordination/routing/balancer.h>

#include <algorithm>

namespace guavafront
{

namespace
{

constexpr int maxDraws = 6; ///< Draws before the members are searched one by one.

/// Weyl sequence with the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
std::uint64_t nextRandom(std::uint64_t &state)
{
    state += 0x9e3779b97f4a7c15;
    std::uint64_t mixed = state;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
    return mixed ^ (mixed >> 31);
}

/// Index below bound (Lemire, 2019, without the rejection step).
std::size_t below(std::size_t bound, std::uint64_t random)
{
    return static_cast<std::size_t>(((random >> 32) * bound) >> 32);
}

bool isUsable(const candidate &member, std::span<const instance_id> tried)
{
    return member.weight > 0 && member.outstanding < member.slots
           && std::ranges::find(tried, member.instance) == tried.end();
}

/// Whether a member with a weight below 1 lets this turn pass.
bool letsPass(const candidate &member, std::uint64_t random)
{
    constexpr float scale = 1.0F / 4294967296.0F;
    return static_cast<float>(random & 0xffffffff) * scale >= member.weight;
}

const candidate *search(std::span<const candidate> part, std::size_t start, std::span<const instance_id> tried)
{
    for (std::size_t step = 0; step < part.size(); ++step) {
        const candidate &member = part[(start + step) % part.size()];
        if (isUsable(member, tried)) {
            return &member;
        }
    }
    return nullptr;
}

const candidate *draw(std::span<const candidate> part, std::span<const instance_id> tried, std::uint64_t &random)
{
    if (part.empty()) {
        return nullptr;
    }
    for (int attempt = 0; attempt < maxDraws; ++attempt) {
        const std::uint64_t bits = nextRandom(random);
        const candidate &member = part[below(part.size(), bits)];
        if (isUsable(member, tried) && !letsPass(member, bits)) {
            return &member;
        }
    }
    return search(part, below(part.size(), nextRandom(random)), tried);
}

/// Share of slots in use after one more request, by what this VM knows and the instance says.
float occupancy(const candidate &member)
{
    const auto slots = static_cast<float>(member.slots);
    const float inUse = std::max(static_cast<float>(member.outstanding), member.reportedLoad * slots);
    return (inUse + 1) / slots;
}

/// The less loaded of two members drawn from a part; null when none is usable.
const candidate *drawBetter(const candidate_set &set, std::span<const candidate> part,
                            std::span<const instance_id> tried, std::uint64_t &random)
{
    const candidate *first = draw(part, tried, random);
    const candidate *second = draw(part, tried, random);
    if (!first || first == second) {
        return first;
    }
    const float firstCost = expectedLatencyUs(set, *first) * occupancy(*first);
    const float secondCost = expectedLatencyUs(set, *second) * occupancy(*second);
    return firstCost <= secondCost ? first : second;
}

const candidate *drawByExpectedLatency(const candidate_set &set, std::span<const instance_id> tried,
                                       std::uint64_t &random)
{
    const std::span<const candidate> all(set.items);
    const candidate *near = drawBetter(set, all.first(set.nearCount), tried, random);
    const candidate *far = drawBetter(set, all.subspan(set.nearCount), tried, random);
    if (!near || !far) {
        return near ? near : far;
    }
    return expectedLatencyUs(set, *near) <= expectedLatencyUs(set, *far) ? near : far;
}

const candidate *drawByOutstanding(const candidate_set &set, std::span<const instance_id> tried, std::uint64_t &random)
{
    const candidate *first = draw(set.items, tried, random);
    const candidate *second = draw(set.items, tried, random);
    return !first || first->outstanding <= second->outstanding ? first : second;
}

const candidate *takeTurn(candidate_set &set, std::span<const instance_id> tried)
{
    if (set.items.empty()) {
        return nullptr;
    }
    const candidate *member = search(set.items, set.nextTurn % set.items.size(), tried);
    if (member) {
        set.nextTurn = static_cast<std::uint32_t>(member - set.items.data()) + 1;
    }
    return member;
}

const candidate *drawMember(candidate_set &set, balancing_policy policy, std::span<const instance_id> tried,
                            std::uint64_t random)
{
    switch (policy) {
    case balancing_policy::Random:
        return draw(set.items, tried, random);
    case balancing_policy::RoundRobin:
        return takeTurn(set, tried);
    case balancing_policy::TwoChoices:
        return drawByOutstanding(set, tried, random);
    case balancing_policy::ExpectedLatency:
        break;
    }
    return drawByExpectedLatency(set, tried, random);
}

} // namespace

float expectedLatencyUs(const candidate_set &set, const candidate &member)
{
    const float latencyUs = member.latencyUs > 0 ? member.latencyUs : set.typicalLatencyUs;
    const float requestsOver = (occupancy(member) - 1) * static_cast<float>(member.slots);
    return latencyUs * (1 + std::max(0.0F, requestsOver));
}

std::optional<instance_id> chooseInstance(candidate_set &set, balancing_policy policy,
                                          std::span<const instance_id> tried, std::uint64_t random)
{
    const candidate *member = drawMember(set, policy, tried, random);
    if (!member) {
        return std::nullopt;
    }
    return member->instance;
}

} // namespace guavafront
