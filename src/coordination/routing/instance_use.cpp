#include <guavafront/coordination/routing/instance_use.h>

#include "coordination/routing/rendezvous.h"

namespace guavafront
{

namespace
{

/// Whether the instance hasn't failed for long enough to count as sound.
bool isSound(const instance_use &each, instant now, const use_limits &limits)
{
    return each.lastFailedAt == instant{} || now - each.lastFailedAt >= limits.soundAfter;
}

/// This VM's part of the spread, which differs from one use of the instance to the next.
duration staggerOf(vm_id self, const instance_use &each, const use_limits &limits)
{
    const auto moment = static_cast<std::uint64_t>(each.lastUsedAt.time_since_epoch() / std::chrono::seconds(1));
    const std::uint64_t hash = rendezvousHash(self.value + moment, each.instance.value);
    return duration(static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(limits.spread.count())));
}

} // namespace

double usedShare(std::span<const instance_use> instances, instant now, const use_limits &limits)
{
    double sound = 0;
    double used = 0;
    for (const instance_use &each : instances) {
        if (isSound(each, now, limits)) {
            sound += 1;
            used += now - each.lastUsedAt < limits.period ? 1 : 0;
        }
    }
    return sound > 0 ? used / sound : 1;
}

std::optional<instance_use> chooseUnused(std::span<const instance_use> instances, bool repeatable, vm_id self,
                                         instant now, const use_limits &limits)
{
    if (usedShare(instances, now, limits) >= limits.floorShare + limits.margin) {
        return std::nullopt;
    }
    std::optional<instance_use> longest;
    for (const instance_use &each : instances) {
        const bool usable = each.near && (each.open || (repeatable && each.mayBeTried)) && isSound(each, now, limits);
        const bool due = now >= each.lastUsedAt + limits.unusedAfter + staggerOf(self, each, limits);
        if (usable && due && (!longest || each.lastUsedAt < longest->lastUsedAt)) {
            longest = each;
        }
    }
    return longest;
}

} // namespace guavafront
