#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/work/work_samples.h>

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace guavafront
{

/// Service times of one route that were observed since the last report.
struct route_samples {
    route_id route; ///< The route.
    duration sum{}; ///< Sum of the service times.
    std::vector<std::uint8_t> bins; ///< Bin of each service time; see workBinOf().
    bool operator==(const route_samples &) const = default; ///< Memberwise equality.
};

/// What all VMs observed of one route, as a hub sums it up.
struct shared_estimate {
    route_id route; ///< The route.
    work_estimate work; ///< Mean and tail.
    std::uint32_t weight = 0; ///< Weight of the samples.
    bool operator==(const shared_estimate &) const = default; ///< Memberwise equality.
};

/// Service times that are yet to be reported, by route.
struct work_report {
    std::map<route_id, route_samples> routes; ///< At most 64 routes with 32 service times each; others are left out.
    instant lastTakenAt{}; ///< Time of the last report.
};

/// Adds a service time to the next report.
void addToReport(work_report &report, route_id route, duration took);

/// Takes what is to be reported now: once a second at most, so that a VM sends under 300 bytes a second for ten routes.
std::vector<route_samples> takeDueSamples(work_report &report, instant now);

/// A hub's sums of the service times that all VMs observed.
struct work_totals {
    std::unordered_map<route_id, work_samples> routes; ///< By route; at most 2,048.
    instant lastPublishedAt{}; ///< Time of the last publication.
};

/// Adds the service times that a VM or another hub reported.
void recordSamples(work_totals &totals, const std::vector<route_samples> &samples, instant now);

/// The estimates that are to be published now: once a second, those of the routes observed within the last 30 s.
std::vector<shared_estimate> takeDueEstimates(work_totals &totals, instant now);

} // namespace guavafront
