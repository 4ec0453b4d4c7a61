#pragma once

#include "load/load_plan.h"
#include "load/load_result.h"
#include "settings/endpoint.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace guavafront
{

/// A load and where it goes.
struct load_options {
    load_plan plan; ///< Arrivals.
    std::vector<endpoint> entryServers; ///< Callers' addresses of entry VMs.
    std::vector<endpoint> directServers; ///< Upstreams for the comparison; may be empty.
    std::size_t connectionsPerTarget = 64; ///< Kept connections to each address at most.
    duration timeout = std::chrono::seconds(10); ///< From the scheduled arrival to the whole answer.
    duration progressPeriod = std::chrono::seconds(1); ///< Between two calls of the progress function.
};

/// Runs a load until each arrival has ended; SIGINT or SIGTERM ends the arrivals early. A request is sent at its time
/// whether or not earlier ones were answered, and its latency counts from that time, so that a slow fleet can't hide
/// its delay by slowing the load down (coordinated omission). onProgress may be empty.
load_result runLoad(const load_options &options,
                    const std::function<void(duration elapsed, const load_result &)> &onProgress);

} // namespace guavafront
