#pragma once

#include <guavafront/coordination/admission/admission_queue.h>
#include <guavafront/coordination/limits/limit_settings.h>
#include <guavafront/coordination/retries/retry_share.h>
#include <guavafront/coordination/routing/balancer.h>
#include <guavafront/coordination/warmup/warmup.h>

#include <cstdint>

namespace guavafront
{

/// Limits on what an entry VM holds in memory at once.
struct entry_bounds {
    std::uint32_t requests = 8'192; ///< Maximum number of requests in progress.
    std::uint64_t bodyBytes = 67'108'864; ///< Maximum total size of their bodies in bytes.
};

/// Settings of an entry VM's decisions; they must be the same on all VMs.
struct entry_policy {
    limit_settings limits; ///< Settings of the rate limiter.
    admission_settings admission; ///< Settings of the queue in front of each service.
    balancing_policy balancing = balancing_policy::ExpectedLatency; ///< Policy for choosing an instance.
    retry_rule retries; ///< Rule for the retries of all VMs together; none by default.
    bool strictConfiguration = false; ///< Refuse requests while the active configuration is outdated.
    warmup_bounds warmup; ///< By how much the limit of a cold instance may be exceeded.
    /// Requests wait at the entry VMs, in order of urgency, once the capacity of their service is scarce, and are
    /// refused as soon as it is known that their turn comes too late. Needs the hubs' sums, so
    /// balancing_policy::Affinity.
    bool urgencyOrder = false;
    entry_bounds bounds; ///< Limits beyond which the requests that cost least to refuse are shed.
};

} // namespace guavafront
