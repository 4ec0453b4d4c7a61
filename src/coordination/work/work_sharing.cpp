#include <guavafront/coordination/work/work_sharing.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace guavafront
{

namespace
{

constexpr duration shareInterval = std::chrono::seconds(1); ///< Costs change over seconds, not within one.
constexpr duration publishedFor = std::chrono::seconds(30); ///< A route that nobody used for this long is left out.
constexpr std::size_t maxReportedRoutes = 64; ///< Routes in one report.
constexpr std::size_t maxReportedSamples = 32; ///< Service times of a route in one report.
constexpr std::size_t maxTotalRoutes = 2'048; ///< Routes that a hub keeps, about 300 bytes each.

} // namespace

void addToReport(work_report &report, route_id route, duration took)
{
    if (report.routes.size() >= maxReportedRoutes && !report.routes.contains(route)) {
        return;
    }
    route_samples &samples = report.routes[route];
    samples.route = route;
    if (samples.bins.size() < maxReportedSamples) {
        samples.sum += took;
        samples.bins.push_back(workBinOf(took));
    }
}

std::vector<route_samples> takeDueSamples(work_report &report, instant now)
{
    std::vector<route_samples> due;
    if (report.routes.empty() || now - report.lastTakenAt < shareInterval) {
        return due;
    }
    report.lastTakenAt = now;
    for (auto &[route, samples] : std::exchange(report.routes, {})) {
        due.push_back(std::move(samples));
    }
    return due;
}

void recordSamples(work_totals &totals, const std::vector<route_samples> &samples, instant now)
{
    for (const route_samples &each : samples) {
        if (each.bins.empty()) {
            continue;
        }
        if (!totals.routes.contains(each.route) && totals.routes.size() >= maxTotalRoutes) {
            totals.routes.erase(
                std::ranges::min_element(totals.routes, {}, [](const auto &entry) { return entry.second.updatedAt; }));
        }
        work_samples &route = totals.routes[each.route];
        discountSamples(route, now);
        const double meanUs = static_cast<double>(each.sum.count()) / static_cast<double>(each.bins.size());
        for (const std::uint8_t bin : each.bins) {
            addSamples(route, bin, 1, meanUs);
        }
    }
}

std::vector<shared_estimate> takeDueEstimates(work_totals &totals, instant now)
{
    std::vector<shared_estimate> due;
    if (now - totals.lastPublishedAt < shareInterval) {
        return due;
    }
    totals.lastPublishedAt = now;
    for (const auto &[route, samples] : totals.routes) {
        if (now - samples.updatedAt < publishedFor) {
            due.push_back({route, summarize(samples), static_cast<std::uint32_t>(std::lround(samples.weight))});
        }
    }
    return due;
}

} // namespace guavafront
