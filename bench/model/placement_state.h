#pragma once

#include "model/placement_run.h"

#include <guavafront/coordination/loads/load_reporter.h>
#include <guavafront/coordination/work/work_estimates.h>

#include <algorithm>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace guavafront::bench
{

struct instance_model {
    std::size_t dataCentre = 0; ///< Index of its data centre.
    std::uint32_t running = 0; ///< Requests in its slots.
    std::vector<std::size_t> waiting; ///< Indexes of the requests in its queue, oldest first.
};

struct vm_model {
    std::size_t dataCentre = 0; ///< Index of its data centre.
    candidate_set set; ///< Candidates with the loads that the VM knows.
    load_reporter reporter; ///< Loads that the VM has reported to its hub.
    std::map<instance_id, instance_load> instanceLoads; ///< Loads that instances reported since the last report.
    work_estimates work; ///< What requests cost.
};

struct request_model {
    std::size_t vm = 0; ///< Entry VM.
    std::size_t instance = 0; ///< Index of the instance that it was sent to.
    instant arrived{}; ///< When the request arrived.
    std::size_t kind = 0; ///< Index of its kind.
    duration work{}; ///< Work that the VM expected of it.
    duration wait{}; ///< Wait that the VM expected of it.
};

/// Draws the kind of the next request.
std::size_t drawKind(const std::vector<placement_kind> &kinds, std::mt19937_64 &random);

/// Counts of the requests that went to slow instances, and of all, over two spans.
struct slow_counts {
    std::pair<double, double> whileSlow; ///< In the second half of the slowness.
    std::pair<double, double> afterwards; ///< From 10 s after its end on.
};

/// Counts a request that arrived the given time after the start.
void countSlow(slow_counts &counts, const placement_options &options, std::size_t instance, duration since);

} // namespace guavafront::bench
