#include "coordination/routing/instance_cost.h"

#include <algorithm>

namespace guavafront
{

namespace
{

/// Mean work of the requests at an instance, at its speed.
float meanWorkUs(const instance_work &at)
{
    return at.requests > 0 ? at.workUs / at.requests * at.slowness : 0;
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
    // Nearly full instances are slower, and their load may have grown since it was reported.
    constexpr float crowdingSlope = 0.5F;
    const float crowding =
        ownUs * at.slowness * crowdingSlope * std::max(0.0F, (at.requests + 1) / at.slots - crowdingSlope);
    // One slow answer may be due to its request, so that only part of the excess counts.
    constexpr float slownessWeight = 0.3F;
    constexpr float slownessFactor = 1.5F;
    const float slow = slownessWeight * ownUs * std::max(0.0F, at.slowness - slownessFactor);
    const float fullPenalty = at.full ? std::max(meanWorkUs(at), ownUs) : 0;
    return queueingUs(at, at.requests + 1 - at.slots) + crowding + slow + fullPenalty;
}

} // namespace guavafront
