#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>

#include <cstdint>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace guavafront
{

/// Requests that an instance has.
struct instance_load {
    instance_id instance; ///< The instance.
    std::uint32_t requests = 0; ///< That run and wait there.
    duration age{}; ///< Since that was so.
    bool operator==(const instance_load &) const = default; ///< Memberwise equality.
};

/// Sums, where many VMs report, what each of them has sent to an instance and what wasn't answered yet. Unlike an
/// instance's own word, which comes with its answers, it counts requests as soon as they are sent.
struct load_totals {
    struct vm_load {
        std::uint32_t requests = 0; ///< Of the VM that told.
        instant reportedAt{}; ///< When it last told.
    };

    duration retention = std::chrono::seconds(3); ///< What a VM said counts for so long; it repeats what is left of it.
    std::unordered_map<instance_id, std::unordered_map<vm_id, vm_load>> loadsByInstance; ///< By instance and by VM.
    std::set<instance_id> changedInstances; ///< Instances whose sum changed since it was last asked for.
};

/// Takes what a VM has at the instances named; it replaces what it said of them before.
void recordLoads(load_totals &totals, vm_id reporter, std::span<const instance_load> loads, instant now);

/// Sums of the instances that changed since the last call.
std::vector<instance_load> takeChangedLoads(load_totals &totals, instant now);

} // namespace guavafront
