#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>

#include <cstdint>
#include <span>
#include <vector>

namespace guavafront
{

/// Time for which other VMs may still count a consent after this VM withdrew it. It is longer than the time within
/// which they notice a lost VM or a lost message. Only after it may this VM consent to another instance of the same
/// group.
inline constexpr duration withdrawnConsentLifetime = std::chrono::seconds(10);

/// Proposal to eject an instance that some data centre suspects. Each VM may consent to it.
struct ejection_proposal {
    instance_id instance; ///< Instance to eject.
    std::uint32_t consents = 0; ///< VMs that consent according to their reports at this VM, which counts too.
};

/// One VM's agreement to the ejection of an instance.
struct consent {
    instance_id instance; ///< Instance that may be ejected.
    instant givenAt{}; ///< When this VM began to publish the consent.
    instant withdrawnAt{}; ///< When it was withdrawn; meaningless unless withdrawn is set.
    /// The consent is no longer published. It blocks its group for withdrawnConsentLifetime, since other VMs may still
    /// count it.
    bool withdrawn = false;
};

/// Rules by which a VM gives consents in one service.
struct consent_rule {
    std::uint32_t groupCount = 0; ///< Groups of the service's instances; at most one instance of each is ejected.
    std::uint32_t majority = 1; ///< Consents that an ejection takes.
    /// No consent is given before this time. By then the other VMs no longer count consents that this VM gave before
    /// its restart.
    instant earliestAt{};
};

/// Number of groups into which a service's instances are divided, so that one ejected instance of each group never
/// takes more than the ejectable slots, whichever instances they are. Both arguments count slots.
std::uint32_t consentGroupCount(std::uint32_t ejectableSlots, std::uint32_t largestSlots);

/// Group of an instance, below groupCount; the same at every VM. groupCount must not be 0.
std::uint32_t consentGroupOf(instance_id instance, std::uint32_t groupCount);

/// Smallest majority of all VMs. Missing VMs have to be counted in the argument.
std::uint32_t consentMajority(std::uint32_t vms);

/// Gives and withdraws this VM's consents. A VM gives at most one consent for each group, to the proposal with the most
/// consents, and gives it to another instance no sooner than withdrawnConsentLifetime after it withdrew the first. A
/// split vote is resolved by the VMs that voted for the proposal with fewer consents: they withdraw.
void updateConsents(std::vector<consent> &given, std::span<const ejection_proposal> proposals, const consent_rule &rule,
                    instant now);

} // namespace guavafront
