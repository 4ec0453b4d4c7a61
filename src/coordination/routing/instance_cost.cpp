#include "coordination/routing/instance_cost.h"

#include <algorithm>
#include <cmath>

namespace guavafront
{

namespace
{

/// Mean work of the requests at an instance, at its speed.
float meanWorkUs(const instance_work &at)
{
    return at.requests > 0 ? at.workUs / at.requests * at.slowness : 0;
}

/// Cost of running a request beside others of another cost. Loads are known 0.1 to 0.2 s late, so that a request may
/// find no free slot and wait; a short one shouldn't then wait behind long ones. One request of typical work is added,
/// so that an empty instance counts as mixed.
float mixingUs(const instance_work &at, float ownUs)
{
    constexpr float mixingWeight = 0.4F;
    return mixingWeight * std::abs(ownUs - (at.workUs + at.typicalUs) / (at.requests + 1));
}

} // namespace

instance_work workAt(const candidate_set &set, const candidate &member, float requests, bool reportIsFresh, instant now)
{
    float workUs = member.outstandingWorkUs;
    if (reportIsFresh) {
        const bool isReported = member.reportedWorkUs > 0 || member.reportedLoad <= 0;
        const float reportedUs = isReported ? member.reportedWorkUs : member.reportedLoad * set.typicalLatencyUs;
        workUs = std::max(workUs, reportedUs + member.sentWorkUs);
    }
    return {.requests = requests,
            .workUs = workUs,
            .typicalUs = set.typicalLatencyUs,
            .slots = static_cast<float>(std::max<std::uint16_t>(member.slots, 1)),
            .slowness = slownessOf(member, now),
            .full = now < member.fullUntil};
}

float queueingUs(const instance_work &at, float queued)
{
    return std::max(0.0F, queued) * meanWorkUs(at) / at.slots;
}

float delayByWorkUs(const instance_work &at, float ownUs)
{
    // Nearly full instances are slower, and their load may have grown since it was reported. With a steeper slope long
    // requests of all VMs gather at the instance that was the emptiest 0.2 s ago.
    constexpr float crowdingSlope = 0.125F;
    const float crowding = ownUs * at.slowness * crowdingSlope * std::max(0.0F, (at.requests + 1) / at.slots - 0.5F);
    // One slow answer may be due to its request, so that only part of the excess counts.
    constexpr float slownessWeight = 0.6F;
    constexpr float slownessFactor = 1.5F;
    const float slow = slownessWeight * std::max(ownUs, at.typicalUs) * std::max(0.0F, at.slowness - slownessFactor);
    const float fullPenalty = at.full ? std::max(meanWorkUs(at), ownUs) : 0;
    return queueingUs(at, at.requests + 1 - at.slots) + crowding + mixingUs(at, ownUs) + slow + fullPenalty;
}

} // namespace guavafront
