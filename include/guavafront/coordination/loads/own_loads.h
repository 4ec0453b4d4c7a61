#pragma once

#include <guavafront/coordination/loads/load_board.h>
#include <guavafront/coordination/routing/candidate_set.h>

#include <span>
#include <unordered_map>
#include <vector>

namespace guavafront
{

/// What a VM told its hub of its own requests at instances, so that it tells changes only.
struct own_loads {
    struct told_load {
        std::uint32_t requests = 0; ///< As last told.
        instant at{}; ///< When.
    };

    duration period = std::chrono::milliseconds(100); ///< Between two reports; a request runs several times as long.
    duration repeatAfter = std::chrono::seconds(1); ///< What still runs is told again, well within the hub's memory.
    std::unordered_map<instance_id, told_load> told; ///< Instances with requests of this VM, as the hub knows them.
    bool changed = false; ///< A request was sent or has ended since the last report.
    instant reportedAt{}; ///< Last report.
};

/// When the next report is due; the end of time where there is nothing to tell.
instant nextLoadReport(const own_loads &state);

/// Appends what is to be told of a service's instances.
void collectLoads(own_loads &state, std::span<const candidate> members, instant now,
                  std::vector<instance_load> &report);

} // namespace guavafront
