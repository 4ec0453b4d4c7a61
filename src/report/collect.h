#pragma once

#include "report/metrics_sample.h"
#include "settings/endpoint.h"

#include <functional>
#include <vector>

namespace guavafront
{

/// Daemons to read and for how long.
struct collect_options {
    std::vector<endpoint> sources; ///< Metrics addresses of daemons.
    duration interval = std::chrono::seconds(10); ///< Between two rounds; also the limit of each reading.
    std::size_t rounds = 2; ///< Readings of each daemon.
};

/// Reads the daemons' pages of metrics in rounds; SIGINT or SIGTERM ends it after the running round. onSample is called
/// for each page, onFailure for each daemon that gave none in a round.
void collectSamples(const collect_options &options, const std::function<void(const metrics_sample &)> &onSample,
                    const std::function<void(const endpoint &)> &onFailure);

} // namespace guavafront
