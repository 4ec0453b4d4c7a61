#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>

#include <cstdint>

namespace guavafront
{

/// Requests at one instance.
struct instance_load {
    instance_id instance; ///< The instance.
    std::uint32_t requests = 0; ///< Requests that run or wait there.
    duration age{}; ///< Time between the count and the sending of this report.
    /// Expected work of these requests; 0 where it isn't known or the service's routes don't differ in cost.
    duration work{};
    bool operator==(const instance_load &) const = default; ///< Memberwise equality.
};

} // namespace guavafront
