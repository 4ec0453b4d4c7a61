#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/health/service_health.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace guavafront
{

/// One VM's suspicion of one instance.
struct suspicion {
    instance_id instance; ///< The instance.
    suspicion_level level = suspicion_level::None; ///< How strongly.

    /// Memberwise equality.
    bool operator==(const suspicion &) const = default;
};

/// What one VM tells the others of upstreams' health; sent when it changes, not when time passes.
struct health_report {
    std::string dataCentre; ///< Data centre of the VM, since health is a view per data centre.
    std::vector<suspicion> suspicions; ///< Instances with evidence against them, in order of id.
    std::vector<instance_id> consents; ///< Instances that may be out of rotation for this VM's part, in order of id.

    /// Memberwise equality.
    bool operator==(const health_report &) const = default;
};

/// What the VMs together say of an instance.
struct evidence_summary {
    bool corroboratedInDataCentre = false; ///< Enough VMs of the asked data centre suspect it strongly enough.
    bool corroboratedAnywhere = false; ///< Enough VMs of some data centre do.
    std::uint32_t consents = 0; ///< VMs that consent to its being out of rotation.
};

/// Newest reports of all VMs, this one's included.
struct shared_evidence {
    std::unordered_map<vm_id, health_report> reports; ///< By reporting VM.
    std::unordered_map<instance_id, std::vector<vm_id>> reporters; ///< VMs that suspect it or consent.
};

/// Replaces a VM's report.
void putReport(shared_evidence &evidence, vm_id reporter, const health_report &report);

/// Forgets a VM that was lost.
void removeReport(shared_evidence &evidence, vm_id reporter);

/// What it takes to corroborate a suspicion in a data centre.
struct corroboration_rule {
    std::uint32_t minReporters = 2; ///< VMs; their levels must add up to Suspect from each of so many.
    std::uint32_t usualLevels = 0; ///< Sum of levels that is usual at the service's instances; twice it is needed more.
};

/// Adds up the suspicions of an instance in each data centre.
evidence_summary summarizeEvidence(const shared_evidence &evidence, instance_id instance, std::string_view dataCentre,
                                   const corroboration_rule &rule);

/// Largest sum of levels against an instance in any one data centre.
std::uint32_t highestLevelSum(const shared_evidence &evidence, instance_id instance);

/// VMs of one data centre that must agree before an instance is ejected there: one bad link is not enough, unless the
/// VM is the only one.
std::uint32_t reportersNeeded(std::uint32_t vmsInDataCentre);

/// Whether this VM is among the about 16 of its data centre that report on an instance, so that reports stay few.
bool isReporter(vm_id self, instance_id instance, std::uint32_t vmsInDataCentre);

} // namespace guavafront
