#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/retries/retry_budget.h>

#include <cstdint>
#include <vector>

namespace guavafront
{

/// Rule of a deployment for the arrivals at a service's instances beyond the first of each request: in any time of some
/// seconds, over all VMs, at most a share of the requests and a fixed number.
struct retry_rule {
    std::uint32_t percent = 0; ///< Allowed arrivals in percent of the requests.
    std::uint32_t slack = 0; ///< Allowed arrivals beyond that share; 0 when the deployment has no rule.
    duration window = std::chrono::seconds(10); ///< The time in which they are counted.
};

/// Number of the fleet's VMs that was in force for a time.
struct fleet_size {
    std::uint32_t vms = 1; ///< Number of VMs.
    instant replacedAt = instant::max(); ///< When another number replaced it; the end of time while it is in force.
};

/// Numbers of VMs that were in force within fleetSizeMemory and are larger than all later ones, oldest first.
struct fleet_sizes {
    std::vector<fleet_size> sizes; ///< Decreasing; the last one is in force.
};

/// Time for which a larger fleet still counts, so that a VM that is cut off doesn't take the parts of the others.
constexpr duration fleetSizeMemory = std::chrono::minutes(5);

/// Records the number of VMs that is in force from now on.
void recordFleetSize(fleet_sizes &state, std::uint32_t vms, instant now);

/// Largest number of VMs within fleetSizeMemory; 1 before the first record.
std::uint32_t largestFleetSize(const fleet_sizes &state, instant now);

/// Tokens that this VM may save for a service: its part of the slack. Where that is less than the one token that a
/// retry takes, the VMs whose hash is below the part may save one, and the others none. A VM that knows of no other
/// saves one at most, since the others may have forgotten to count it only after fleetSizeMemory.
float retryCapacity(const retry_rule &rule, std::uint32_t vms, vm_id self);

/// Percentage of a token that one request earns under the rule, a tenth below the allowed one: of the requests that
/// earn tokens in any ten seconds, some arrived before.
std::uint32_t earnedPercent(const retry_rule &rule);

/// Whether a process that runs since then may save its whole part at once: what the process before it spent lies
/// outside of the rule's window by now. Until then it saves only what its own requests earn.
bool maySaveWholePart(const retry_rule &rule, instant runningSince, instant now);

/// Limits what a budget holds to the capacity.
void setCapacity(retry_budget &budget, float capacity);

} // namespace guavafront
