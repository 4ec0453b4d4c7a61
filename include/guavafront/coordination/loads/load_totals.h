#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/loads/instance_load.h>

#include <cstdint>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace guavafront
{

/// A hub's sums of the unanswered requests that each VM has sent to an instance. They count a request as soon as it is
/// sent, whereas the load that an instance reports about itself arrives only with its answers.
struct load_totals {
    /// Unanswered requests of one VM at an instance.
    struct vm_load {
        std::uint32_t requests = 0; ///< Number in the VM's last report.
        duration work{}; ///< Expected work of these requests; 0 when the VM didn't report it.
        instant reportedAt{}; ///< When the report arrived.
    };

    /// Time after which a VM's number is dropped. VMs repeat the numbers that aren't zero more often than this.
    duration retention = std::chrono::seconds(3);
    std::unordered_map<instance_id, std::unordered_map<vm_id, vm_load>> loadsByInstance; ///< By instance, then by VM.
    std::set<instance_id> changedInstances; ///< Instances whose sum changed since the last takeChangedLoads().
};

/// Records the requests that a VM has at the given instances, in place of its earlier numbers for them.
void recordLoads(load_totals &totals, vm_id reporter, std::span<const instance_load> loads, instant now);

/// Returns the sums of the instances that changed since the last call. Requests whose work wasn't reported, by VMs of
/// the previous build, count with the mean of the others.
std::vector<instance_load> takeChangedLoads(load_totals &totals, instant now);

} // namespace guavafront
