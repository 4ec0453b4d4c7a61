#pragma once

#include <guavafront/coordination/avoidance/avoidance.h>
#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/registry/registry.h>

#include <cstdint>
#include <span>

namespace guavafront
{

/// How many of a service's instances stand where, as one VM holds it.
struct service_instance_counts {
    std::uint32_t serving = 0; ///< All that are announced as serving.
    std::uint32_t open = 0; ///< For every request.
    std::uint32_t trial = 0; ///< May be tried.
    std::uint32_t avoided = 0; ///< Not to be tried yet.
    bool operator==(const service_instance_counts &) const = default; ///< Memberwise equality.
};

/// Counts the serving instances by where they stand now.
service_instance_counts countInstances(const avoidance &avoidedInstances,
                                       std::span<const registered_instance> instances, instant now);

} // namespace guavafront
