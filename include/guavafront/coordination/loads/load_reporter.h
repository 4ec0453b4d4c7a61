#pragma once

#include <guavafront/coordination/loads/load_totals.h>
#include <guavafront/coordination/routing/candidate_set.h>

#include <span>
#include <unordered_map>
#include <vector>

namespace guavafront
{

/// What a VM last reported to its hub of its own requests at instances, so that later reports contain only changes.
struct load_reporter {
    /// Number in a report.
    struct reported_load {
        std::uint32_t requests = 0; ///< Requests of this VM at the instance.
        instant reportedAt{}; ///< Time of the report.
    };

    /// Least time between two reports of changes. Requests take several times as long.
    duration reportInterval = std::chrono::milliseconds(100);
    /// Time after which an unchanged number is reported again. It is well below load_totals::retention, after which
    /// the hub drops the number.
    duration repeatInterval = std::chrono::seconds(1);
    std::unordered_map<instance_id, reported_load> lastReported; ///< Instances whose last reported number isn't zero.
    bool changed = false; ///< A request was sent or has ended since the last report.
    instant lastReportAt{}; ///< Time of the last report.
};

/// Time at which the next report is due; instant::max() when there is nothing to report.
instant nextLoadReport(const load_reporter &state);

/// Appends to the report the members of one service whose number changed or must be repeated. The report contains their
/// work where the service's routes differ in cost.
void collectDueLoads(load_reporter &state, std::span<const candidate> members, instant now,
                     std::vector<instance_load> &report, bool withWork = false);

} // namespace guavafront
