#pragma once

#include <guavafront/coordination/core/identifiers.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace guavafront
{

/// What one VM tells the others of upstreams' health; sent when it changes, not when time passes.
struct health_report {
    std::string dataCentre; ///< Data centre of the VM, since health is a view per data centre.
    std::vector<instance_id> suspects; ///< Instances with strong evidence against them, in order of id.
    std::vector<instance_id> ejected; ///< Instances that the VM ejects, in order of id.

    /// Memberwise equality.
    bool operator==(const health_report &) const = default;
};

/// How many VMs suspect an instance.
struct suspicion_count {
    std::uint32_t here = 0; ///< VMs of the asked data centre.
    std::uint32_t mostInOneDataCentre = 0; ///< The largest number in any one data centre.
    bool ejected = false; ///< Some VM ejects it.
};

/// Newest reports of all VMs, this one's included.
struct shared_evidence {
    std::unordered_map<vm_id, health_report> reports; ///< By reporting VM.
    std::unordered_map<instance_id, std::vector<vm_id>> reporters; ///< VMs that suspect or eject the instance.
};

/// Replaces a VM's report.
void putReport(shared_evidence &evidence, vm_id reporter, const health_report &report);

/// Forgets a VM that was lost.
void removeReport(shared_evidence &evidence, vm_id reporter);

/// Counts the VMs that suspect an instance.
suspicion_count countSuspicions(const shared_evidence &evidence, instance_id instance, std::string_view dataCentre);

/// VMs of one data centre that must agree before an instance is ejected there: one bad link is not enough, unless the
/// VM is the only one.
std::uint32_t reportersNeeded(std::uint32_t vmsInDataCentre);

/// Whether this VM is among the about 16 of its data centre that report on an instance, so that reports stay few.
bool isReporter(vm_id self, instance_id instance, std::uint32_t vmsInDataCentre);

} // namespace guavafront
