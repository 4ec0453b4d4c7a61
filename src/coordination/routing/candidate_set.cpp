#include <guavafront/coordination/routing/candidate_set.h>

#include <guavafront/coordination/routing/subset.h>

#include <algorithm>
#include <cmath>

namespace guavafront
{

namespace
{

constexpr float latencyDecaySeconds = 10; ///< Time in which an old average loses 63 % (1 - 1/e) of its weight.
/// Time in which an instance's slowness loses 63 % without answers. It is longer, since a VM sends an instance that it
/// avoids no request in 10 s, and would forget it.
constexpr float slownessDecaySeconds = 30;
constexpr float minSampleShare = 0.2F; ///< Least weight of a sample, so that the average also follows busy instances.
/// Time without an answer after which an average drifts.
constexpr duration latencyStaleAfter = std::chrono::seconds(1);
constexpr float driftShare = 0.02F; ///< Share of the distance to the typical latency per call.
/// Time for which an idle connection is taken as open. Instances close connections that idle for 10 s.
constexpr duration connectionKeepTime = std::chrono::seconds(8);
constexpr float minTypicalSampleShare = 0.01F; ///< Least weight of a sample in the average over all members.

std::uint64_t idValueOf(const candidate &member)
{
    return member.instance.value;
}

std::span<candidate> nearPart(candidate_set &set)
{
    return std::span(set.members).first(set.nearCount);
}

std::span<candidate> farPart(candidate_set &set)
{
    return std::span(set.members).subspan(set.nearCount);
}

candidate *findInPart(std::span<candidate> part, instance_id instance)
{
    const auto found = std::ranges::lower_bound(part, instance.value, {}, idValueOf);
    return found != part.end() && found->instance == instance ? &*found : nullptr;
}

/// Ids of the VM's subset of the serving instances inside (near) or outside its data centre, in order.
std::vector<instance_id> selectMemberIds(std::span<const registered_instance> instances, const subset_options &options,
                                         bool near)
{
    std::vector<instance_id> ids;
    for (const registered_instance &entry : instances) {
        const bool isNear = entry.last.dataCentre == options.dataCentre;
        if (entry.last.state == instance_state::Serving && isNear == near) {
            ids.push_back(entry.last.instance);
        }
    }
    return selectSubset(options.self, ids, options.maxPerPart);
}

void appendMember(candidate_set &to, candidate_set &from, std::span<const registered_instance> instances,
                  instance_id id)
{
    const auto entryIdValueOf = [](const registered_instance &entry) {
        return entry.last.instance.value;
    };
    const auto entry = std::ranges::lower_bound(instances, id.value, {}, entryIdValueOf);
    const candidate *before = findCandidate(from, id);
    candidate member = before ? *before : candidate{.instance = id};
    member.slots = entry->last.slots;
    to.members.push_back(member);
}

} // namespace

void updateMembers(candidate_set &set, std::span<const registered_instance> instances, const subset_options &options)
{
    candidate_set next{.roundRobinIndex = set.roundRobinIndex,
                       .sampleCount = set.sampleCount,
                       .typicalLatencyUs = set.typicalLatencyUs};
    for (const instance_id id : selectMemberIds(instances, options, true)) {
        appendMember(next, set, instances, id);
    }
    next.nearCount = static_cast<std::uint32_t>(next.members.size());
    for (const instance_id id : selectMemberIds(instances, options, false)) {
        appendMember(next, set, instances, id);
    }
    set = std::move(next);
}

candidate *findCandidate(candidate_set &set, instance_id instance)
{
    candidate *near = findInPart(nearPart(set), instance);
    return near ? near : findInPart(farPart(set), instance);
}

void onRequestSent(candidate &member, duration work)
{
    ++member.outstanding;
    ++member.sentSinceReport;
    member.outstandingWorkUs += static_cast<float>(work.count());
    member.sentWorkUs += static_cast<float>(work.count());
}

void onRequestEnded(candidate &member, duration work)
{
    // A member that was removed and added again starts at zero, while answers to its earlier requests may still arrive.
    if (member.outstanding > 0) {
        --member.outstanding;
    }
    const float left = std::max(0.0F, member.outstandingWorkUs - static_cast<float>(work.count()));
    member.outstandingWorkUs = member.outstanding > 0 ? left : 0; // Rounding errors don't add up.
}

void applyReportedLoad(candidate &member, const instance_load &load, instant at)
{
    if (at <= member.loadReportedAt) {
        return;
    }
    if (load.requests > member.lastSum) {
        member.lastUsedAt = std::max(member.lastUsedAt, at);
    }
    member.lastSum = load.requests;
    member.reportedLoad = static_cast<float>(load.requests);
    member.reportedWorkUs = static_cast<float>(load.work.count());
    member.sentSinceReport = 0;
    member.sentWorkUs = 0;
    member.loadReportedAt = at;
}

void recordSlowness(candidate &member, duration took, duration expected, instant now)
{
    constexpr float maxRatio = 20; // One lost answer is no measure of how slow an instance is.
    const auto expectedUs = static_cast<float>(std::max<std::int64_t>(expected.count(), 1));
    const float sample = std::min(maxRatio, static_cast<float>(took.count()) / expectedUs);
    const float elapsedSeconds = std::chrono::duration<float>(now - member.slownessAt).count();
    const float share = std::max(minSampleShare, 1 - std::exp(-elapsedSeconds / latencyDecaySeconds));
    // One answer after a long time may be slow due to its request alone, so that it counts for half at most.
    constexpr float maxSampleShare = 0.5F;
    const float before = slownessOf(member, now);
    member.slowness = before + (sample - before) * std::min(share, maxSampleShare);
    member.slownessAt = now;
}

float slownessOf(const candidate &member, instant now)
{
    const float elapsedSeconds = std::chrono::duration<float>(now - member.slownessAt).count();
    return 1 + (member.slowness - 1) * std::exp(-std::max(0.0F, elapsedSeconds) / slownessDecaySeconds);
}

void onLoadReported(candidate &member, std::uint32_t load, instant now)
{
    // The instance counts the request whose answer carries the report. It doesn't tell the work of the others, which is
    // taken as the mean before.
    const auto others = static_cast<float>(load > 0 ? load - 1 : 0);
    member.reportedWorkUs = member.reportedLoad > 0 ? member.reportedWorkUs / member.reportedLoad * others : 0;
    member.reportedLoad = others;
    member.sentSinceReport = 0;
    member.sentWorkUs = 0;
    member.loadReportedAt = now;
}

void driftStaleLatencies(candidate_set &set, instant now)
{
    for (candidate &member : set.members) {
        if (member.latencyUs > 0 && member.lastAnswerAt + latencyStaleAfter < now) {
            member.latencyUs += (set.typicalLatencyUs - member.latencyUs) * driftShare;
        }
    }
}

void onRequestAnswered(candidate_set &set, candidate &member, duration latency, instant now, duration work)
{
    onRequestEnded(member, work);
    const auto sampleUs = static_cast<float>(latency.count());
    const float elapsedSeconds = std::chrono::duration<float>(now - member.lastAnswerAt).count();
    const float share = std::max(minSampleShare, 1 - std::exp(-elapsedSeconds / latencyDecaySeconds));
    const float before = member.latencyUs > 0 ? member.latencyUs : sampleUs;
    member.latencyUs = before + (sampleUs - before) * share;
    member.lastAnswerAt = now;
    member.connectionKeptUntil = now + connectionKeepTime;
    constexpr std::uint32_t maxSampleCount = 100;
    set.sampleCount = std::min(set.sampleCount + 1, maxSampleCount);
    // The initial value of typicalLatencyUs counts as one more sample.
    const float typicalShare = std::max(minTypicalSampleShare, 1 / static_cast<float>(set.sampleCount + 1));
    set.typicalLatencyUs += (sampleUs - set.typicalLatencyUs) * typicalShare;
}

} // namespace guavafront
