#include <guavafront/coordination/routing/affinity.h>

#include <algorithm>
#include <vector>

namespace guavafront
{

namespace
{

/// Highest random weight of an instance for a VM (Thaler and Ravishankar, 1998).
std::uint64_t preference(vm_id self, instance_id instance)
{
    std::uint64_t mixed = self.value ^ (instance.value * 0x9e3779b97f4a7c15);
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
    return mixed ^ (mixed >> 31);
}

/// Requests that the instance has, as far as known here: its own word while it is fresh, with what was sent since.
float knownLoad(const candidate &member, instant now, const affinity_costs &costs)
{
    const auto own = static_cast<float>(member.outstanding);
    const bool fresh = member.loadAt != instant{} && now - member.loadAt < costs.loadMemory;
    return fresh ? std::max(own, member.reportedLoad + static_cast<float>(member.sentSinceLoad)) : own;
}

/// Expected time until the answer beyond what the service usually takes, in microseconds.
float expectedDelayUs(const candidate_set &set, const candidate &member, instant now, const affinity_costs &costs)
{
    const float typical = set.typicalLatencyUs;
    const float latency = member.latencyUs > 0 ? member.latencyUs : typical;
    const float load = knownLoad(member, now, costs);
    const auto slots = static_cast<float>(std::max<std::uint16_t>(member.slots, 1));
    const float waiting = std::max(0.0F, load + 1 - slots) * latency / slots;
    // Nearly full instances are slower, and their load may have grown since it was told.
    constexpr float slope = 0.5F;
    const float crowding = latency * slope * std::max(0.0F, (load + 1) / slots - 0.5F);
    // One slow answer may be the request's doing.
    constexpr float trust = 0.3F;
    constexpr float usual = 1.5F;
    const float full = now < member.fullUntil ? latency : 0;
    return trust * std::max(0.0F, latency - usual * typical) + waiting + crowding + full;
}

struct ranked_member {
    const candidate *member = nullptr; ///< The instance.
    bool near = false; ///< In this VM's data centre.
    std::uint64_t weight = 0; ///< This VM's preference.
    avoidance_standing standing = avoidance_standing::Open; ///< What the fleet holds of it.
};

std::vector<ranked_member> rankedMembers(const candidate_set &set, const avoidance &troubles, vm_id self,
                                         const choice_request &request, instant now)
{
    std::vector<ranked_member> ranked;
    ranked.reserve(set.items.size());
    for (std::size_t index = 0; index < set.items.size(); ++index) {
        const candidate &member = set.items[index];
        if (std::ranges::find(request.tried, member.instance) == request.tried.end()) {
            ranked.push_back({&member, index < set.nearCount, preference(self, member.instance),
                              standingOf(troubles, member.instance, now)});
        }
    }
    std::ranges::sort(ranked, [](const ranked_member &a, const ranked_member &b) {
        return a.near != b.near ? a.near : a.weight > b.weight;
    });
    return ranked;
}

const ranked_member *cheapest(const std::vector<ranked_member> &ranked, const candidate_set &set, instant now,
                              const affinity_costs &costs)
{
    const ranked_member *best = nullptr;
    float bestCost = 0;
    float place = 0;
    for (const ranked_member &each : ranked) {
        if (each.standing != avoidance_standing::Open) {
            continue;
        }
        float cost = expectedDelayUs(set, *each.member, now, costs) + place * static_cast<float>(costs.rank.count());
        cost += each.near ? 0 : static_cast<float>(costs.far.count());
        const bool kept = each.member->outstanding == 0 && now < each.member->keptUntil;
        cost += kept ? 0 : static_cast<float>(costs.connect.count());
        place += 1;
        if (!best || cost < bestCost) {
            best = &each;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace

namespace
{

/// Share of the service's slots at instances that are open.
double openShare(const std::vector<ranked_member> &ranked)
{
    double open = 0;
    double all = 0;
    for (const ranked_member &each : ranked) {
        all += each.member->slots;
        open += each.standing == avoidance_standing::Open ? each.member->slots : 0;
    }
    return all > 0 ? open / all : 0;
}

/// Whether the open instances have little room left, as far as their loads are known.
bool isCrowded(const std::vector<ranked_member> &ranked, instant now, const affinity_costs &costs)
{
    constexpr float crowded = 0.65F;
    float requests = 0;
    float slots = 0;
    for (const ranked_member &each : ranked) {
        if (each.standing == avoidance_standing::Open) {
            requests += knownLoad(*each.member, now, costs);
            slots += static_cast<float>(each.member->slots);
        }
    }
    return requests > crowded * slots;
}

/// The first instance that the request may show sound again. One that may not be repeated is risked only where
/// capacity is short or the trouble is long ago.
const ranked_member *findTrial(const std::vector<ranked_member> &ranked, const avoidance &troubles,
                               const choice_request &request, instant now, const affinity_costs &costs)
{
    const bool isShort = openShare(ranked) < costs.shortage || isCrowded(ranked, now, costs);
    const auto found = std::ranges::find_if(ranked, [&](const ranked_member &each) {
        const duration quiet = now - lastTrouble(troubles, each.member->instance);
        const bool longAgo = quiet > (isShort ? costs.hurry : costs.patience);
        return each.standing == avoidance_standing::Trial && (request.repeatable || (each.near && longAgo));
    });
    return found == ranked.end() ? nullptr : &*found;
}

} // namespace

duration expectedWait(const candidate_set &set, const candidate &member, instant now, const affinity_costs &costs)
{
    const auto slots = static_cast<float>(std::max<std::uint16_t>(member.slots, 1));
    const float waiting = std::max(0.0F, knownLoad(member, now, costs) - slots);
    return duration(static_cast<std::int64_t>(waiting * set.typicalLatencyUs / slots));
}

std::optional<affinity_choice> chooseByAffinity(const candidate_set &set, const avoidance &troubles, vm_id self,
                                                const choice_request &request, instant now, const affinity_costs &costs)
{
    const std::vector<ranked_member> ranked = rankedMembers(set, troubles, self, request, now);
    if (const ranked_member *onTrial = findTrial(ranked, troubles, request, now, costs)) {
        return affinity_choice{onTrial->member->instance, true};
    }
    if (const ranked_member *best = cheapest(ranked, set, now, costs)) {
        return affinity_choice{best->member->instance, false};
    }
    // All are in trouble: the one that was in trouble longest ago.
    const auto longestAgo = std::ranges::min_element(
        ranked, {}, [&troubles](const ranked_member &each) { return lastTrouble(troubles, each.member->instance); });
    if (longestAgo == ranked.end()) {
        return std::nullopt;
    }
    return affinity_choice{longestAgo->member->instance, true};
}

} // namespace guavafront
