#pragma once

#include <guavafront/coordination/avoidance/avoidance.h>
#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/notices/instance_notices.h>
#include <guavafront/coordination/registry/registry.h>

#include <cstdint>
#include <span>

namespace guavafront
{

/// Numbers of a service's instances by what one VM knows of them.
struct service_instance_counts {
    std::uint32_t serving = 0; ///< Instances announced as serving: the sum of the other counts.
    std::uint32_t open = 0; ///< Instances with avoidance_status::Open.
    std::uint32_t trial = 0; ///< Instances with avoidance_status::Trial.
    std::uint32_t avoided = 0; ///< Instances with avoidance_status::Avoided.
    std::uint32_t paused = 0; ///< Instances that want no request from this VM for a time.
    std::uint32_t leaving = 0; ///< Instances that are still announced as serving but have said that they leave.
    std::uint32_t evacuated = 0; ///< Instances in evacuated data centres.
    bool operator==(const service_instance_counts &) const = default; ///< Memberwise equality.
};

/// Counts the serving instances by their present status.
service_instance_counts countInstances(const avoidance &avoidedInstances, const instance_notices &notices,
                                       std::span<const registered_instance> instances, instant now);

} // namespace guavafront
