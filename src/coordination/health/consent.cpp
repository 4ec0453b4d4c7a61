#include <guavafront/coordination/health/consent.h>

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace guavafront
{

namespace
{

/// A split vote is seen as one only after it: until then more consents may be on their way.
constexpr duration countingTime = std::chrono::seconds(2);

/// Whether a motion comes before another one for a VM's consent.
bool isBefore(const ejection_motion &left, const ejection_motion &right)
{
    return std::pair(right.consents, left.instance.value) < std::pair(left.consents, right.instance.value);
}

const ejection_motion *findMotion(std::span<const ejection_motion> motions, instance_id instance)
{
    const auto found = std::ranges::find(motions, instance, &ejection_motion::instance);
    return found == motions.end() ? nullptr : &*found;
}

/// The motion of a group that most VMs consent to; null when there is none.
const ejection_motion *bestOf(std::span<const ejection_motion> motions, std::uint32_t group, std::uint32_t groups)
{
    const ejection_motion *best = nullptr;
    for (const ejection_motion &each : motions) {
        if (consentGroup(each.instance, groups) == group && (!best || isBefore(each, *best))) {
            best = &each;
        }
    }
    return best;
}

void withdraw(consent &mine, instant now)
{
    if (!mine.withdrawn) {
        mine.withdrawn = true;
        mine.withdrawnAt = now;
    }
}

/// Withdraws what is no longer suspected or has lost a split vote, and what the number of groups no longer allows.
void reviewConsents(std::vector<consent> &given, std::span<const ejection_motion> motions, const consent_rule &rule,
                    instant now)
{
    std::vector<bool> taken(rule.groups);
    for (consent &mine : given) {
        const ejection_motion *motion = findMotion(motions, mine.instance);
        if (rule.groups == 0 || !motion) {
            withdraw(mine, now);
            continue;
        }
        const std::uint32_t group = consentGroup(mine.instance, rule.groups);
        const bool counted = mine.givenAt + countingTime <= now;
        const bool lost = counted && motion->consents < rule.majority && bestOf(motions, group, rule.groups) != motion;
        if (taken[group] || lost) {
            withdraw(mine, now);
        }
        taken[group] = true;
    }
}

/// The consent that bars a group; null when the group is free.
consent *findInGroup(std::vector<consent> &given, std::uint32_t group, std::uint32_t groups)
{
    const auto found =
        std::ranges::find_if(given, [&](const consent &mine) { return consentGroup(mine.instance, groups) == group; });
    return found == given.end() ? nullptr : &*found;
}

} // namespace

std::uint32_t consentGroups(std::uint32_t ejectableSlots, std::uint32_t largestSlots)
{
    return largestSlots == 0 ? 0 : ejectableSlots / largestSlots;
}

std::uint32_t consentGroup(instance_id instance, std::uint32_t groups)
{
    return static_cast<std::uint32_t>(XXH3_64bits(&instance.value, sizeof instance.value) % groups);
}

std::uint32_t consentMajority(std::uint32_t vms)
{
    return vms / 2 + 1;
}

void updateConsents(std::vector<consent> &given, std::span<const ejection_motion> motions, const consent_rule &rule,
                    instant now)
{
    reviewConsents(given, motions, rule, now);
    std::erase_if(given,
                  [now](const consent &mine) { return mine.withdrawn && mine.withdrawnAt + consentMemory <= now; });
    if (now < rule.firstAt) {
        return;
    }
    for (std::uint32_t group = 0; group < rule.groups; ++group) {
        const ejection_motion *best = bestOf(motions, group, rule.groups);
        if (!best) {
            continue;
        }
        consent *mine = findInGroup(given, group, rule.groups);
        if (!mine) {
            given.push_back({.instance = best->instance, .givenAt = now});
        } else if (mine->withdrawn && mine->instance == best->instance) {
            *mine = {.instance = best->instance, .givenAt = now};
        }
    }
}

} // namespace guavafront
