#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>

#include <cstdint>
#include <span>
#include <vector>

namespace guavafront
{

/// How long a consent lasts at the others after it was withdrawn: longer than the loss of a VM, or of a message, stays
/// unnoticed. Only then may another instance of the group get it.
inline constexpr duration withdrawnConsentLifetime = std::chrono::seconds(10);

/// Instance that some data centre suspects, for which the VMs may consent.
struct ejection_proposal {
    instance_id instance; ///< The instance.
    std::uint32_t consents = 0; ///< VMs that consent, as heard here, this one included.
};

/// One VM's word that an instance may be out of rotation.
struct consent {
    instance_id instance; ///< The instance.
    instant givenAt{}; ///< Since when.
    instant withdrawnAt{}; ///< Meaningless unless withdrawn.
    bool withdrawn = false; ///< Not published any more; bars the group until the others have forgotten it.
};

/// What a VM must know to give consents in one service.
struct consent_rule {
    std::uint32_t groupCount = 0; ///< Of the service's instances; at most one instance of each is out.
    std::uint32_t majority = 1; ///< Consents that eject.
    instant earliestAt{}; ///< No consent earlier: by then the others have forgotten this VM's life before a restart.
};

/// Groups that the instances of a service fall into: one instance of each fits above the floor, whichever it is.
std::uint32_t consentGroupCount(std::uint32_t ejectableSlots, std::uint32_t largestSlots);

/// Group of an instance, the same at every VM.
std::uint32_t consentGroupOf(instance_id instance, std::uint32_t groupCount);

/// More than half of all VMs, the missing ones included.
std::uint32_t consentMajority(std::uint32_t vms);

/// Gives and withdraws this VM's consents: at most one for each group, to the proposal with the most consents, and to
/// none other sooner than withdrawnConsentLifetime after it was withdrawn. A vote that is split ends with the smaller
/// part withdrawing.
void updateConsents(std::vector<consent> &given, std::span<const ejection_proposal> proposals, const consent_rule &rule,
                    instant now);

} // namespace guavafront
