#pragma once

#include <guavafront/coordination/avoidance/avoidance.h>
#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/registry/registry.h>

#include <cstdint>
#include <span>

namespace guavafront
{

/// Numbers of a service's instances by their status in one VM's avoidance.
struct service_instance_counts {
    std::uint32_t serving = 0; ///< Instances announced as serving: the sum of the other counts.
    std::uint32_t open = 0; ///< Instances with avoidance_status::Open.
    std::uint32_t trial = 0; ///< Instances with avoidance_status::Trial.
    std::uint32_t avoided = 0; ///< Instances with avoidance_status::Avoided.
    bool operator==(const service_instance_counts &) const = default; ///< Memberwise equality.
};

/// Counts the serving instances by their present status.
service_instance_counts countInstances(const avoidance &avoidedInstances,
                                       std::span<const registered_instance> instances, instant now);

} // namespace guavafront
