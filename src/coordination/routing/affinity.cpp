#include <guavafront/coordination/routing/affinity.h>

#include "coordination/routing/instance_cost.h"
#include "coordination/routing/rendezvous.h"

#include <algorithm>
#include <vector>

namespace guavafront
{

namespace
{

/// Whether the last reported load is still valid.
bool isReportFresh(const candidate &member, instant now, const affinity_parameters &parameters)
{
    return member.loadReportedAt != instant{} && now - member.loadReportedAt < parameters.loadValidity;
}

/// Estimated requests at the instance: the last reported load, while it is valid, plus what this VM has sent since, but
/// at least this VM's own requests.
float estimatedLoad(const candidate &member, instant now, const affinity_parameters &parameters)
{
    const auto own = static_cast<float>(member.outstanding);
    const bool fresh = isReportFresh(member, now, parameters);
    return fresh ? std::max(own, member.reportedLoad + static_cast<float>(member.sentSinceReport)) : own;
}

/// Load and work at the instance, for a service whose routes differ in cost.
instance_work estimatedWork(const candidate_set &set, const candidate &member, instant now,
                            const affinity_parameters &parameters)
{
    return workAt(set, member, estimatedLoad(member, now, parameters), isReportFresh(member, now, parameters), now);
}

/// Expected time until the answer beyond what the request takes anyway, in microseconds.
float expectedDelayUs(const candidate_set &set, const candidate &member, const choice_request &request, instant now,
                      const affinity_parameters &parameters)
{
    if (request.byWork) {
        return delayByWorkUs(estimatedWork(set, member, now, parameters), static_cast<float>(request.work.count()));
    }
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
const ranked_member *findCheapestOpen(const std::vector<ranked_member> &ranked, const candidate_set &set,
                                      const choice_request &request, instant now, const affinity_parameters &parameters)
{
    const ranked_member *best = nullptr;
    float bestCost = 0;
    float rank = 0;
    for (const ranked_member &each : ranked) {
        if (each.status != avoidance_status::Open) {
            continue;
        }
        float cost = expectedDelayUs(set, *each.member, request, now, parameters)
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

/// Estimated load of the open members, in shares of their slots.
double openLoad(const std::vector<ranked_member> &ranked, instant now, const affinity_parameters &parameters)
{
    float requests = 0;
    float slots = 0;
    for (const ranked_member &each : ranked) {
        if (each.status == avoidance_status::Open) {
            requests += estimatedLoad(*each.member, now, parameters);
            slots += static_cast<float>(each.member->slots);
        }
    }
    return slots > 0 ? requests / slots : 0;
}

trial_use trialUseOf(const choice_request &request)
{
    if (request.retry) {
        return trial_use::None;
    }
    if (request.repeatable && request.retryBudgetSpent) {
        return trial_use::BudgetSpent;
    }
    return request.repeatable && request.mayBeRetried ? trial_use::Repeatable : trial_use::Unrepeatable;
}

/// The trial that the request is; nothing when there is none.
std::optional<trial_choice> findTrial(const std::vector<ranked_member> &ranked, const avoidance &avoidedInstances,
                                      vm_id self, const choice_request &request, instant now,
                                      const affinity_parameters &parameters)
{
    static const episode_lengths noLengths;
    std::vector<trial_candidate> candidates;
    for (const ranked_member &each : ranked) {
        if (each.status == avoidance_status::Trial) {
            candidates.push_back({each.member->instance, each.near});
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const trial_situation situation{
        .openShare = openShare(ranked), .openLoad = openLoad(ranked, now, parameters), .loss = request.loss};
    return chooseTrial(avoidedInstances, candidates, request.lengths ? *request.lengths : noLengths, situation,
                       trialUseOf(request), self, now, parameters.trials);
}

/// An instance that had no request for long, while too few of the service's sound instances are in use; nothing when
/// there is none.
std::optional<affinity_choice> findUnused(const std::vector<ranked_member> &ranked, const avoidance &avoidedInstances,
                                          vm_id self, const choice_request &request, instant now, use_limits limits)
{
    const bool repeatable = request.repeatable && request.mayBeRetried;
    // An instance that had no request for a while may have begun to fail, and a request that may not be repeated is
    // lost with it, so that such requests keep the floor only under severe loss: a VM that sees 30 requests in 4 s
    // takes a loss of a twentieth for notable in one of six such times.
    const bool isNeeded = repeatable || request.loss == service_loss::Severe;
    if (request.floorShare <= 0 || request.retry || !isNeeded) {
        return std::nullopt;
    }
    limits.floorShare = request.floorShare;
    std::vector<instance_use> uses;
    uses.reserve(ranked.size());
    for (const ranked_member &each : ranked) {
        uses.push_back({.instance = each.member->instance,
                        .near = each.near,
                        .open = each.status == avoidance_status::Open,
                        .mayBeTried = each.status == avoidance_status::Trial,
                        .lastUsedAt = each.member->lastUsedAt,
                        .lastFailedAt = lastFailureOf(avoidedInstances, each.member->instance)});
    }
    const auto unused = chooseUnused(uses, repeatable, self, now, limits);
    if (!unused) {
        return std::nullopt;
    }
    const trial_reason reason = unused->open ? trial_reason::None : trial_reason::Unused;
    return affinity_choice{unused->instance, !unused->open, reason};
}

/// Takes the members that failed lately out of a retry's choice, unless no other one is open.
void keepProvenMembers(std::vector<ranked_member> &ranked, const avoidance &avoidedInstances, instant now)
{
    std::vector<ranked_member> proven = ranked;
    for (ranked_member &each : proven) {
        if (failedRecently(avoidedInstances, each.member->instance, now)) {
            each.status = avoidance_status::Avoided;
        }
    }
    if (std::ranges::find(proven, avoidance_status::Open, &ranked_member::status) != proven.end()) {
        ranked = std::move(proven);
    }
}

} // namespace

duration expectedWait(const candidate_set &set, const candidate &member, const choice_request &request, instant now,
                      const affinity_parameters &parameters)
{
    if (request.byWork) {
        const instance_work at = estimatedWork(set, member, now, parameters);
        return duration(static_cast<std::int64_t>(queueingUs(at, at.requests - at.slots)));
    }
    const auto slots = static_cast<float>(std::max<std::uint16_t>(member.slots, 1));
    const float queueing = std::max(0.0F, estimatedLoad(member, now, parameters) - slots);
    return duration(static_cast<std::int64_t>(queueing * set.typicalLatencyUs / slots));
}

std::optional<affinity_choice> chooseByAffinity(const candidate_set &set, const avoidance &avoidedInstances, vm_id self,
                                                const choice_request &request, instant now,
                                                const affinity_parameters &parameters)
{
    std::vector<ranked_member> ranked = rankedMembers(set, avoidedInstances, self, request, now);
    if (const auto onTrial = findTrial(ranked, avoidedInstances, self, request, now, parameters)) {
        return affinity_choice{onTrial->instance, true, onTrial->reason};
    }
    if (const auto unused = findUnused(ranked, avoidedInstances, self, request, now, parameters.use)) {
        return unused;
    }
    if (request.retry) {
        keepProvenMembers(ranked, avoidedInstances, now);
    }
    if (const ranked_member *best = findCheapestOpen(ranked, set, request, now, parameters)) {
        return affinity_choice{.instance = best->member->instance};
    }
    // All members are avoided: the one whose last failure is the oldest is the most likely to have recovered.
    const auto oldestFailure = std::ranges::min_element(ranked, {}, [&avoidedInstances](const ranked_member &each) {
        return lastFailureOf(avoidedInstances, each.member->instance);
    });
    if (oldestFailure == ranked.end()) {
        return std::nullopt;
    }
    return affinity_choice{oldestFailure->member->instance, true, trial_reason::NoneOpen};
}

} // namespace guavafront
