#include <guavafront/coordination/routing/affinity.h>

#include "coordination/routing/rendezvous.h"

#include <algorithm>
#include <vector>

namespace guavafront
{

namespace
{

/// Estimated requests at the instance: the last reported load, while it is valid, plus what this VM has sent since, but
/// at least this VM's own requests.
float estimatedLoad(const candidate &member, instant now, const affinity_parameters &parameters)
{
    const auto own = static_cast<float>(member.outstanding);
    const bool fresh = member.loadReportedAt != instant{} && now - member.loadReportedAt < parameters.loadValidity;
    return fresh ? std::max(own, member.reportedLoad + static_cast<float>(member.sentSinceReport)) : own;
}

/// Expected time until the answer beyond the service's typical latency, in microseconds.
float expectedDelayUs(const candidate_set &set, const candidate &member, instant now,
                      const affinity_parameters &parameters)
{
    const float typical = set.typicalLatencyUs;
    const float latency = member.latencyUs > 0 ? member.latencyUs : typical;
    const float load = estimatedLoad(member, now, parameters);
    const auto slots = static_cast<float>(std::max<std::uint16_t>(member.slots, 1));
    const float queueing = std::max(0.0F, load + 1 - slots) * latency / slots;
    // Nearly full instances are slower, and their load may have grown since it was reported.
    constexpr float crowdingSlope = 0.5F;
    const float crowding = latency * crowdingSlope * std::max(0.0F, (load + 1) / slots - 0.5F);
    // One slow answer may be due to its request, so that only part of the excess latency counts.
    constexpr float slownessWeight = 0.3F;
    constexpr float slownessFactor = 1.5F;
    const float fullPenalty = now < member.fullUntil ? latency : 0;
    return slownessWeight * std::max(0.0F, latency - slownessFactor * typical) + queueing + crowding + fullPenalty;
}

/// A member with what decides its rank in this VM's order of preference.
struct ranked_member {
    const candidate *member = nullptr; ///< The member.
    bool near = false; ///< Whether it is in this VM's data centre.
    std::uint64_t preference = 0; ///< Result of rendezvousHash().
    avoidance_status status = avoidance_status::Open; ///< Its status in the avoidance.
};

/// Members that the request may be sent to, in this VM's order of preference.
std::vector<ranked_member> rankedMembers(const candidate_set &set, const avoidance &avoidedInstances, vm_id self,
                                         const choice_request &request, instant now)
{
    std::vector<ranked_member> ranked;
    ranked.reserve(set.members.size());
    for (std::size_t index = 0; index < set.members.size(); ++index) {
        const candidate &member = set.members[index];
        if (std::ranges::find(request.excluded, member.instance) == request.excluded.end()) {
            ranked.push_back({&member, index < set.nearCount, rendezvousHash(self.value, member.instance.value),
                              avoidanceStatusOf(avoidedInstances, member.instance, now)});
        }
    }
    std::ranges::sort(ranked, [](const ranked_member &a, const ranked_member &b) {
        return a.near != b.near ? a.near : a.preference > b.preference;
    });
    return ranked;
}

/// The open member with the least cost; null when no member is open.
const ranked_member *findCheapestOpen(const std::vector<ranked_member> &ranked, const candidate_set &set, instant now,
                                      const affinity_parameters &parameters)
{
    const ranked_member *best = nullptr;
    float bestCost = 0;
    float rank = 0;
    for (const ranked_member &each : ranked) {
        if (each.status != avoidance_status::Open) {
            continue;
        }
        float cost = expectedDelayUs(set, *each.member, now, parameters)
                     + rank * static_cast<float>(parameters.rankCost.count());
        cost += each.near ? 0 : static_cast<float>(parameters.farCost.count());
        const bool connectionKept = each.member->outstanding == 0 && now < each.member->connectionKeptUntil;
        cost += connectionKept ? 0 : static_cast<float>(parameters.connectCost.count());
        rank += 1;
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

/// Share of the ranked members' slots that open members have, 0 to 1.
double openShare(const std::vector<ranked_member> &ranked)
{
    double open = 0;
    double all = 0;
    for (const ranked_member &each : ranked) {
        all += each.member->slots;
        open += each.status == avoidance_status::Open ? each.member->slots : 0;
    }
    return all > 0 ? open / all : 0;
}

/// Whether the open members have few free slots left, by their estimated load.
bool isCrowded(const std::vector<ranked_member> &ranked, instant now, const affinity_parameters &parameters)
{
    constexpr float crowdedLoadShare = 0.65F;
    float requests = 0;
    float slots = 0;
    for (const ranked_member &each : ranked) {
        if (each.status == avoidance_status::Open) {
            requests += estimatedLoad(*each.member, now, parameters);
            slots += static_cast<float>(each.member->slots);
        }
    }
    return requests > crowdedLoadShare * slots;
}

/// Time after an instance's last failure until a request that may not be repeated is sent to it as a trial.
duration unrepeatableDelay(const std::vector<ranked_member> &ranked, const choice_request &request, instant now,
                           const affinity_parameters &parameters)
{
    const bool fewOpen = openShare(ranked) < parameters.scarceOpenShare;
    if (request.loss == service_loss::Severe || (fewOpen && request.loss == service_loss::Notable)) {
        return parameters.unrepeatableTrialDelayUnderLoss;
    }
    const bool isScarce = fewOpen || isCrowded(ranked, now, parameters);
    return isScarce ? parameters.unrepeatableTrialDelayWhenScarce : parameters.unrepeatableTrialDelay;
}

/// This VM's part of the spread of trials of an instance, which differs from failure to failure.
duration trialStagger(vm_id self, const ranked_member &member, instant lastFailure,
                      const affinity_parameters &parameters)
{
    const auto moment = static_cast<std::uint64_t>(lastFailure.time_since_epoch() / std::chrono::seconds(1));
    const std::uint64_t hash = rendezvousHash(self.value + moment, member.member->instance.value);
    return duration(static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(parameters.trialSpread.count())));
}

/// The member that a request that may not be repeated is sent to as a trial: a near one, some time after its last
/// failure, and sooner while capacity is scarce. The longest waiting one goes first, as it is the likeliest to have
/// recovered and so that none waits behind others that fail again. Null when there is none.
const ranked_member *findUnrepeatableTrial(const std::vector<ranked_member> &ranked, const avoidance &avoidedInstances,
                                           vm_id self, const choice_request &request, instant now,
                                           const affinity_parameters &parameters)
{
    const duration delay = unrepeatableDelay(ranked, request, now, parameters);
    const ranked_member *longest = nullptr;
    instant longestReadyAt = now;
    for (const ranked_member &each : ranked) {
        if (each.status != avoidance_status::Trial || !each.near) {
            continue;
        }
        const instant lastFailure = lastFailureOf(avoidedInstances, each.member->instance);
        const instant readyAt = lastFailure + delay + trialStagger(self, each, lastFailure, parameters);
        if (readyAt < longestReadyAt) {
            longest = &each;
            longestReadyAt = readyAt;
        }
    }
    return longest;
}

/// The member that the request is sent to as a trial: for a request that may be repeated the first one in order of
/// preference. Null when there is none.
const ranked_member *findTrialMember(const std::vector<ranked_member> &ranked, const avoidance &avoidedInstances,
                                     vm_id self, const choice_request &request, instant now,
                                     const affinity_parameters &parameters)
{
    if (!request.repeatable) {
        return findUnrepeatableTrial(ranked, avoidedInstances, self, request, now, parameters);
    }
    const auto found = std::ranges::find(ranked, avoidance_status::Trial, &ranked_member::status);
    return found == ranked.end() ? nullptr : &*found;
}

} // namespace

duration expectedWait(const candidate_set &set, const candidate &member, instant now,
                      const affinity_parameters &parameters)
{
    const auto slots = static_cast<float>(std::max<std::uint16_t>(member.slots, 1));
    const float queueing = std::max(0.0F, estimatedLoad(member, now, parameters) - slots);
    return duration(static_cast<std::int64_t>(queueing * set.typicalLatencyUs / slots));
}

std::optional<affinity_choice> chooseByAffinity(const candidate_set &set, const avoidance &avoidedInstances, vm_id self,
                                                const choice_request &request, instant now,
                                                const affinity_parameters &parameters)
{
    const std::vector<ranked_member> ranked = rankedMembers(set, avoidedInstances, self, request, now);
    if (const ranked_member *onTrial = findTrialMember(ranked, avoidedInstances, self, request, now, parameters)) {
        return affinity_choice{onTrial->member->instance, true};
    }
    if (const ranked_member *best = findCheapestOpen(ranked, set, now, parameters)) {
        return affinity_choice{best->member->instance, false};
    }
    // All members are avoided: the one whose last failure is the oldest is the most likely to have recovered.
    const auto oldestFailure = std::ranges::min_element(ranked, {}, [&avoidedInstances](const ranked_member &each) {
        return lastFailureOf(avoidedInstances, each.member->instance);
    });
    if (oldestFailure == ranked.end()) {
        return std::nullopt;
    }
    return affinity_choice{oldestFailure->member->instance, true};
}

} // namespace guavafront
