#pragma once

#include <guavafront/coordination/admission/admission_queue.h>
#include <guavafront/coordination/limits/limit_settings.h>
#include <guavafront/coordination/routing/balancer.h>

#include <cstdint>

namespace guavafront
{

/// Bounds of what an entry VM holds at once.
struct entry_bounds {
    std::uint32_t requests = 8'192; ///< Most requests under way.
    std::uint64_t bodyBytes = 67'108'864; ///< Most bytes of their bodies together.
};

/// Settings of an entry VM's decisions, the same on all VMs.
struct entry_policy {
    limit_settings limits; ///< Of the limiter.
    admission_settings admission; ///< Of the queues before each service.
    balancing_policy balancing = balancing_policy::ExpectedLatency; ///< How instances are chosen.
    bool strictConfiguration = false; ///< Nothing is served by a configuration that is known to be overtaken.
    entry_bounds bounds; ///< Beyond them, the cheapest work is shed.
};

} // namespace guavafront
