#pragma once

#include "load/load_plan.h"
#include "load/load_result.h"
#include "settings/endpoint.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace guavafront
{

/// A load plan with the servers that it is sent to.
struct load_options {
    load_plan plan; ///< Accounts, requests and arrival times.
    std::vector<endpoint> entryServers; ///< Addresses where the entry VMs serve callers, by arrival::target.
    std::vector<endpoint> directServers; ///< Addresses of upstreams, by arrival::target; may be empty.
    std::size_t connectionsPerTarget = 64; ///< Maximum number of connections to each address.
    duration timeout = std::chrono::seconds(10); ///< Longest time from the scheduled arrival to the complete answer.
    duration progressPeriod = std::chrono::seconds(1); ///< Time between two calls of the progress function.
};

/// Runs a load until every request has ended; SIGINT or SIGTERM ends the arrivals early. Each request is sent at its
/// scheduled time whether or not earlier ones were answered, and its latency counts from that time. Otherwise a slow
/// fleet would slow the load down and hide its own delay (coordinated omission). onProgress may be empty.
load_result runLoad(const load_options &options,
                    const std::function<void(duration elapsed, const load_result &)> &onProgress);

} // namespace guavafront
