#pragma once

#include <guavafront/coordination/loads/load_totals.h>
#include <guavafront/coordination/routing/candidate_set.h>

#include <span>
#include <unordered_map>
#include <vector>

namespace guavafront
{

/// What a VM told its hub of its own requests at instances, so that it tells changes only.
struct load_reporter {
    struct reported_load {
        std::uint32_t requests = 0; ///< As last told.
        instant reportedAt{}; ///< When.
    };

    duration reportInterval =
        std::chrono::milliseconds(100); ///< Between two reports; a request runs several times as long.
    duration repeatInterval = std::chrono::seconds(1); ///< What still runs is told again, well within the hub's memory.
    std::unordered_map<instance_id, reported_load>
        lastReported; ///< Instances with requests of this VM, as the hub knows them.
    bool changed = false; ///< A request was sent or has ended since the last report.
    instant lastReportAt{}; ///< Last report.
};

/// When the next report is due; the end of time where there is nothing to tell.
instant nextLoadReport(const load_reporter &state);

/// Appends what is to be told of a service's instances.
void collectDueLoads(load_reporter &state, std::span<const candidate> members, instant now,
                     std::vector<instance_load> &report);

} // namespace guavafront
