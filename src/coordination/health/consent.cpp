#include <guavafront/coordination/health/consent.h>

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace guavafront
{

namespace
{

/// A split vote is seen as one only after it: until then more consents may be on their way.
constexpr duration voteCountingTime = std::chrono::seconds(2);

/// Whether a proposal comes before another one for a VM's consent.
bool hasPrecedence(const ejection_proposal &left, const ejection_proposal &right)
{
    return std::pair(right.consents, left.instance.value) < std::pair(left.consents, right.instance.value);
}

const ejection_proposal *findProposal(std::span<const ejection_proposal> proposals, instance_id instance)
{
    const auto found = std::ranges::find(proposals, instance, &ejection_proposal::instance);
    return found == proposals.end() ? nullptr : &*found;
}

/// The proposal of a group that most VMs consent to; null when there is none.
const ejection_proposal *leadingProposal(std::span<const ejection_proposal> proposals, std::uint32_t group,
                                         std::uint32_t groupCount)
{
    const ejection_proposal *leading = nullptr;
    for (const ejection_proposal &each : proposals) {
        if (consentGroupOf(each.instance, groupCount) == group && (!leading || hasPrecedence(each, *leading))) {
            leading = &each;
        }
    }
    return leading;
}

void withdraw(consent &own, instant now)
{
    if (!own.withdrawn) {
        own.withdrawn = true;
        own.withdrawnAt = now;
    }
}

/// Withdraws what is no longer suspected or has lost a split vote, and what the number of groups no longer allows.
void withdrawStaleConsents(std::vector<consent> &given, std::span<const ejection_proposal> proposals,
                           const consent_rule &rule, instant now)
{
    std::vector<bool> taken(rule.groupCount);
    for (consent &own : given) {
        const ejection_proposal *proposal = findProposal(proposals, own.instance);
        if (rule.groupCount == 0 || !proposal) {
            withdraw(own, now);
            continue;
        }
        const std::uint32_t group = consentGroupOf(own.instance, rule.groupCount);
        const bool counted = own.givenAt + voteCountingTime <= now;
        const bool lost = counted && proposal->consents < rule.majority
                          && leadingProposal(proposals, group, rule.groupCount) != proposal;
        if (taken[group] || lost) {
            withdraw(own, now);
        }
        taken[group] = true;
    }
}

/// The consent that bars a group; null when the group is free.
consent *findInGroup(std::vector<consent> &given, std::uint32_t group, std::uint32_t groupCount)
{
    const auto found = std::ranges::find_if(
        given, [&](const consent &own) { return consentGroupOf(own.instance, groupCount) == group; });
    return found == given.end() ? nullptr : &*found;
}

} // namespace

std::uint32_t consentGroupCount(std::uint32_t ejectableSlots, std::uint32_t largestSlots)
{
    return largestSlots == 0 ? 0 : ejectableSlots / largestSlots;
}

std::uint32_t consentGroupOf(instance_id instance, std::uint32_t groupCount)
{
    return static_cast<std::uint32_t>(XXH3_64bits(&instance.value, sizeof instance.value) % groupCount);
}

std::uint32_t consentMajority(std::uint32_t vms)
{
    return vms / 2 + 1;
}

void updateConsents(std::vector<consent> &given, std::span<const ejection_proposal> proposals, const consent_rule &rule,
                    instant now)
{
    withdrawStaleConsents(given, proposals, rule, now);
    std::erase_if(given, [now](const consent &own) {
        return own.withdrawn && own.withdrawnAt + withdrawnConsentLifetime <= now;
    });
    if (now < rule.earliestAt) {
        return;
    }
    for (std::uint32_t group = 0; group < rule.groupCount; ++group) {
        const ejection_proposal *leading = leadingProposal(proposals, group, rule.groupCount);
        if (!leading) {
            continue;
        }
        consent *own = findInGroup(given, group, rule.groupCount);
        if (!own) {
            given.push_back({.instance = leading->instance, .givenAt = now});
        } else if (own->withdrawn && own->instance == leading->instance) {
            *own = {.instance = leading->instance, .givenAt = now};
        }
    }
}

} // namespace guavafront
