#include <guavafront/coordination/routing/balancer.h>

#include <algorithm>

namespace guavafront
{

namespace
{

constexpr int maxDraws = 6; ///< Random draws before the members are searched in order.

/// Whether members with a weight below 1 are left out of part of the choices.
enum class weight_rule : std::uint8_t { Applied, Ignored };

/// Next number of SplitMix64, a Weyl sequence with a finalizer (Steele, Lea and Flood, 2014).
std::uint64_t nextRandom(std::uint64_t &state)
{
    state += 0x9e3779b97f4a7c15;
    std::uint64_t mixed = state;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
    return mixed ^ (mixed >> 31);
}

/// Maps a random number to an index below bound (Lemire, 2019, without the rejection step).
std::size_t indexBelow(std::size_t bound, std::uint64_t random)
{
    return static_cast<std::size_t>(((random >> 32) * bound) >> 32);
}

/// Which members may be drawn.
struct draw_filter {
    std::span<const instance_id> excluded; ///< Instances of the request's earlier attempts; they are left out.
    rotation_state worstRotation; ///< Members in a later rotation_state are left out.
    weight_rule weights; ///< Whether members that skip this choice by their weight are left out.
    std::uint64_t weightSeed; ///< Random per choice, so that a member skips all draws of the choice or none.
    const candidate *alreadyDrawn = nullptr; ///< Left out: the first member, when a second one is drawn.
};

/// Whether a member with a weight below 1 skips this choice.
bool skipsByWeight(const candidate &member, std::uint64_t weightSeed)
{
    constexpr float scale = 1.0F / 4294967296.0F;
    std::uint64_t state = weightSeed ^ member.instance.value;
    return member.weight < 1 && static_cast<float>(nextRandom(state) >> 32) * scale >= member.weight;
}

bool isUsable(const candidate &member, const draw_filter &filter)
{
    return &member != filter.alreadyDrawn && member.rotation <= filter.worstRotation && member.weight > 0
           && member.outstanding < member.slots
           && (filter.weights == weight_rule::Ignored || !skipsByWeight(member, filter.weightSeed))
           && std::ranges::find(filter.excluded, member.instance) == filter.excluded.end();
}

/// The first usable member from position start on, wrapping around; null when none is usable.
const candidate *findUsableFrom(std::span<const candidate> part, std::size_t start, const draw_filter &filter)
{
    for (std::size_t step = 0; step < part.size(); ++step) {
        const candidate &member = part[(start + step) % part.size()];
        if (isUsable(member, filter)) {
            return &member;
        }
    }
    return nullptr;
}

/// A random usable member; null when none is usable. Advances the state of the random numbers.
const candidate *drawUsable(std::span<const candidate> part, const draw_filter &filter, std::uint64_t &random)
{
    if (part.empty()) {
        return nullptr;
    }
    for (int count = 0; count < maxDraws; ++count) {
        const std::uint64_t bits = nextRandom(random);
        const candidate &member = part[indexBelow(part.size(), bits)];
        if (isUsable(member, filter)) {
            return &member;
        }
    }
    return findUsableFrom(part, indexBelow(part.size(), nextRandom(random)), filter);
}

/// Share of the slots that are in use after one more request, counting only this VM's requests. The load that instances
/// report is left out: it would make all VMs, which get the same outdated reports, choose the same instance.
float occupancy(const candidate &member)
{
    return static_cast<float>(member.outstanding + 1) / static_cast<float>(member.slots);
}

/// The member with the lower cost of two drawn from a part; null when none is usable.
const candidate *drawBetter(const candidate_set &set, std::span<const candidate> part, const draw_filter &filter,
                            std::uint64_t &random)
{
    const candidate *first = drawUsable(part, filter, random);
    const candidate *second =
        drawUsable(part, {filter.excluded, filter.worstRotation, filter.weights, filter.weightSeed, first}, random);
    if (!first || !second) {
        return first;
    }
    const float firstCost = expectedLatencyUs(set, *first) * occupancy(*first);
    const float secondCost = expectedLatencyUs(set, *second) * occupancy(*second);
    return firstCost <= secondCost ? first : second;
}

const candidate *drawByExpectedLatency(const candidate_set &set, const draw_filter &filter, std::uint64_t &random)
{
    const std::span<const candidate> all(set.members);
    const candidate *near = drawBetter(set, all.first(set.nearCount), filter, random);
    const candidate *far = drawBetter(set, all.subspan(set.nearCount), filter, random);
    if (!near || !far) {
        return near ? near : far;
    }
    return expectedLatencyUs(set, *near) <= expectedLatencyUs(set, *far) ? near : far;
}

const candidate *drawByOutstanding(const candidate_set &set, const draw_filter &filter, std::uint64_t &random)
{
    const candidate *first = drawUsable(set.members, filter, random);
    const candidate *second = drawUsable(
        set.members, {filter.excluded, filter.worstRotation, filter.weights, filter.weightSeed, first}, random);
    return !first || !second || first->outstanding <= second->outstanding ? first : second;
}

const candidate *drawRoundRobin(candidate_set &set, const draw_filter &filter)
{
    if (set.members.empty()) {
        return nullptr;
    }
    const candidate *member = findUsableFrom(set.members, set.roundRobinIndex % set.members.size(), filter);
    if (member) {
        set.roundRobinIndex = static_cast<std::uint32_t>(member - set.members.data()) + 1;
    }
    return member;
}

const candidate *drawMember(candidate_set &set, balancing_policy policy, const draw_filter &filter,
                            std::uint64_t random)
{
    switch (policy) {
    case balancing_policy::Random:
        return drawUsable(set.members, filter, random);
    case balancing_policy::RoundRobin:
        return drawRoundRobin(set, filter);
    case balancing_policy::TwoChoices:
        return drawByOutstanding(set, filter, random);
    case balancing_policy::Affinity: // Implemented by chooseByAffinity().
    case balancing_policy::ExpectedLatency:
        break;
    }
    return drawByExpectedLatency(set, filter, random);
}

} // namespace

float expectedLatencyUs(const candidate_set &set, const candidate &member)
{
    const float latencyUs = member.latencyUs > 0 ? member.latencyUs : set.typicalLatencyUs;
    const float excessRequests = (occupancy(member) - 1) * static_cast<float>(member.slots);
    return latencyUs * (1 + std::max(0.0F, excessRequests));
}

std::optional<instance_id> chooseInstance(candidate_set &set, balancing_policy policy, const choice_request &request,
                                          std::uint64_t random)
{
    using enum rotation_state;
    const rotation_state first = request.repeatable ? Returning : InRotation;
    const rotation_state second = request.repeatable ? LastResort : Returning;
    std::uint64_t state = random;
    const std::uint64_t weightSeed = nextRandom(state);
    const candidate *member =
        drawMember(set, policy, {request.excluded, first, weight_rule::Applied, weightSeed}, random);
    if (!member) {
        member = drawMember(set, policy, {request.excluded, first, weight_rule::Ignored, weightSeed}, random);
    }
    if (!member) {
        member = drawMember(set, policy, {request.excluded, second, weight_rule::Ignored, weightSeed}, random);
    }
    if (!member) {
        return std::nullopt;
    }
    return member->instance;
}

} // namespace guavafront
