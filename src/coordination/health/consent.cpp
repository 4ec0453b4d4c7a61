#include <guavafront/coordination/health/consent.h>

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace guavafront
{

namespace
{

/// Age of a consent before its vote is checked for a split; until then more consents may be on their way.
constexpr duration voteCountingTime = std::chrono::seconds(2);

/// Whether a VM prefers the left proposal to the right one: it has more consents, or as many and the lower instance id.
bool hasPrecedence(const ejection_proposal &left, const ejection_proposal &right)
{
    return std::pair(right.consents, left.instance.value) < std::pair(left.consents, right.instance.value);
}

const ejection_proposal *findProposal(std::span<const ejection_proposal> proposals, instance_id instance)
{
    const auto found = std::ranges::find(proposals, instance, &ejection_proposal::instance);
    return found == proposals.end() ? nullptr : &*found;
}

/// The proposal of a group with the most consents; null when the group has no proposal.
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

/// Withdraws consents to instances that are no longer proposed or have lost a split vote, and those that share a group
/// since the number of groups changed.
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

/// The consent that blocks a group, published or withdrawn; null when the group is free.
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
