#include <guavafront/coordination/routing/candidate_set.h>

#include <guavafront/coordination/routing/subset.h>

#include <algorithm>
#include <cmath>

namespace guavafront
{

namespace
{

constexpr float decaySeconds = 10; ///< Time in which an old average loses 63 % of its weight.
constexpr float minSampleShare = 0.2F; ///< A sample's least share, so that busy instances are followed as well.
constexpr duration staleAfter = std::chrono::seconds(1); ///< Without an answer for longer an average drifts.
constexpr float driftPerCall = 0.02F; ///< Share of the way to the typical latency.
constexpr duration connectionMemory = std::chrono::seconds(8); ///< Instances close connections that idle for 10 s.
constexpr float typicalSampleShare = 0.01F; ///< A sample's share in the average over all.

std::uint64_t orderOf(const candidate &member)
{
    return member.instance.value;
}

std::span<candidate> nearPart(candidate_set &set)
{
    return std::span(set.items).first(set.nearCount);
}

std::span<candidate> farPart(candidate_set &set)
{
    return std::span(set.items).subspan(set.nearCount);
}

candidate *findIn(std::span<candidate> part, instance_id instance)
{
    const auto found = std::ranges::lower_bound(part, instance.value, {}, orderOf);
    return found != part.end() && found->instance == instance ? &*found : nullptr;
}

/// Ids of serving instances inside or outside a data centre, bounded to the VM's subset, in order.
std::vector<instance_id> membersOf(std::span<const registered_instance> instances, const placement &here, bool near)
{
    std::vector<instance_id> ids;
    for (const registered_instance &entry : instances) {
        const bool isNear = entry.last.dataCentre == here.dataCentre;
        if (entry.last.state == instance_state::Serving && isNear == near) {
            ids.push_back(entry.last.instance);
        }
    }
    return selectSubset(here.self, ids, here.subsetPerPart);
}

void append(candidate_set &to, candidate_set &from, std::span<const registered_instance> instances, instance_id id)
{
    const auto idValueOf = [](const registered_instance &entry) {
        return entry.last.instance.value;
    };
    const auto entry = std::ranges::lower_bound(instances, id.value, {}, idValueOf);
    const candidate *before = findCandidate(from, id);
    candidate member = before ? *before : candidate{.instance = id};
    member.slots = entry->last.slots;
    to.items.push_back(member);
}

} // namespace

void updateMembers(candidate_set &set, std::span<const registered_instance> instances, const placement &here)
{
    candidate_set next{.nextTurn = set.nextTurn, .samples = set.samples, .typicalLatencyUs = set.typicalLatencyUs};
    for (const instance_id id : membersOf(instances, here, true)) {
        append(next, set, instances, id);
    }
    next.nearCount = static_cast<std::uint32_t>(next.items.size());
    for (const instance_id id : membersOf(instances, here, false)) {
        append(next, set, instances, id);
    }
    set = std::move(next);
}

candidate *findCandidate(candidate_set &set, instance_id instance)
{
    candidate *near = findIn(nearPart(set), instance);
    return near ? near : findIn(farPart(set), instance);
}

void onRequestSent(candidate &member)
{
    ++member.outstanding;
    ++member.sentSinceLoad;
}

void onRequestEnded(candidate &member)
{
    // A member that left and came back starts at zero while answers to its earlier requests may still come.
    if (member.outstanding > 0) {
        --member.outstanding;
    }
}

void onLoadReported(candidate &member, std::uint32_t load, instant now)
{
    // The report counts the request that it came with.
    member.reportedLoad = static_cast<float>(load > 0 ? load - 1 : 0);
    member.sentSinceLoad = 0;
    member.loadAt = now;
}

void relaxLatencies(candidate_set &set, instant now)
{
    for (candidate &member : set.items) {
        if (member.latencyUs > 0 && member.lastAnswer + staleAfter < now) {
            member.latencyUs += (set.typicalLatencyUs - member.latencyUs) * driftPerCall;
        }
    }
}

void onRequestAnswered(candidate_set &set, candidate &member, duration latency, instant now)
{
    onRequestEnded(member);
    const auto sampleUs = static_cast<float>(latency.count());
    const float elapsedSeconds = std::chrono::duration<float>(now - member.lastAnswer).count();
    const float share = std::max(minSampleShare, 1 - std::exp(-elapsedSeconds / decaySeconds));
    const float before = member.latencyUs > 0 ? member.latencyUs : sampleUs;
    member.latencyUs = before + (sampleUs - before) * share;
    member.lastAnswer = now;
    member.keptUntil = now + connectionMemory;
    constexpr std::uint32_t memorySamples = 100;
    set.samples = std::min(set.samples + 1, memorySamples);
    // The value assumed at first counts as one more sample.
    const float typicalShare = std::max(typicalSampleShare, 1 / static_cast<float>(set.samples + 1));
    set.typicalLatencyUs += (sampleUs - set.typicalLatencyUs) * typicalShare;
}

} // namespace guavafront
