#pragma once

#include "report/metrics_sample.h"
#include "settings/endpoint.h"

#include <functional>
#include <vector>

namespace guavafront
{

/// Which daemons to read, how often and how many times.
struct collect_options {
    std::vector<endpoint> sources; ///< Metrics addresses of daemons.
    duration interval = std::chrono::seconds(10); ///< Between the starts of two rounds; also each reading's timeout.
    std::size_t rounds = 2; ///< Number of times that each daemon is read.
};

/// Reads the metrics pages of all daemons in rounds, and returns after the last round. After SIGINT or SIGTERM no
/// further round starts, and the function returns when the pending readings have ended. Calls onSample for each page,
/// and onFailure for each reading that failed, timed out or was answered with a status other than 200. Blocks and calls
/// both on the calling thread.
void collectSamples(const collect_options &options, const std::function<void(const metrics_sample &)> &onSample,
                    const std::function<void(const endpoint &)> &onFailure);

} // namespace guavafront
