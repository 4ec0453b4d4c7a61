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
    instance_id instance; ///< The suspected instance.
    suspicion_level level = suspicion_level::None; ///< How strongly the VM suspects it.

    /// Memberwise equality.
    bool operator==(const suspicion &) const = default;
};

/// One VM's evidence about upstream instances, as it is sent to the other VMs. It holds no times, so that it is sent
/// only when the evidence changes.
struct health_report {
    std::string dataCentre; ///< Data centre of the VM; suspicions are added up for each data centre separately.
    std::vector<suspicion> suspicions; ///< Instances with evidence against them, in order of id.
    std::vector<instance_id> consents; ///< Instances to whose ejection the VM consents, in order of id.

    /// Memberwise equality.
    bool operator==(const health_report &) const = default;
};

/// Evidence of all VMs about one instance.
struct evidence_summary {
    bool corroboratedInDataCentre = false; ///< Enough VMs of the given data centre suspect it strongly enough.
    bool corroboratedAnywhere = false; ///< Enough VMs of some data centre suspect it strongly enough.
    std::uint32_t consents = 0; ///< VMs that consent to its ejection.
};

/// Newest health reports of all VMs, this one included.
struct shared_evidence {
    std::unordered_map<vm_id, health_report> reports; ///< Newest report by reporting VM.
    std::unordered_map<instance_id, std::vector<vm_id>> reporters; ///< VMs that suspect an instance or consent.
};

/// Replaces a VM's report.
void putReport(shared_evidence &evidence, vm_id reporter, const health_report &report);

/// Removes the report of a VM that was lost.
void removeReport(shared_evidence &evidence, vm_id reporter);

/// What corroborates the suspicion of an instance in a data centre.
struct corroboration_rule {
    /// VMs of the data centre that must report the instance. The sum of their levels must be at least this number times
    /// suspicion_level::Suspect.
    std::uint32_t minReporters = 2;
    /// Median sum of levels against the service's instances. Twice this sum is needed in addition.
    std::uint32_t usualLevels = 0;
};

/// Adds up the suspicions of an instance for each data centre, and its consents over all of them.
evidence_summary summarizeEvidence(const shared_evidence &evidence, instance_id instance, std::string_view dataCentre,
                                   const corroboration_rule &rule);

/// Largest sum of levels against an instance in any one data centre.
std::uint32_t highestLevelSum(const shared_evidence &evidence, instance_id instance);

/// VMs of one data centre that must report an instance before it is ejected there. One VM is not enough, since its own
/// link may be bad, unless it is the only one in the data centre.
std::uint32_t reportersNeeded(std::uint32_t vmsInDataCentre);

/// Whether a VM is one of the roughly 16 of its data centre that report on an instance. Limiting them keeps the number
/// of reports small.
bool isReporter(vm_id self, instance_id instance, std::uint32_t vmsInDataCentre);

} // namespace guavafront
