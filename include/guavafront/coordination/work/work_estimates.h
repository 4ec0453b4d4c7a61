#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/work/work_samples.h>
#include <guavafront/coordination/work/work_sharing.h>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace guavafront
{

/// What is visible of a request before it runs.
struct work_key {
    std::string_view service; ///< Service that the request goes to.
    route_id route; ///< Route that matched it; the route fixes method and path as far as they matter.
    account_id account; ///< Client account; 0 on a route open to all.
    std::uint32_t bodyBytes = 0; ///< Size of the request body.
};

/// What this VM has learned of the requests of one route.
struct route_work {
    std::string service; ///< Service that the route names.
    work_samples samples; ///< Service times that this VM observed.
    work_estimate shared; ///< What all VMs observed, as a hub sent it.
    float sharedWeight = 0; ///< Weight of the samples of shared.
    instant sharedAt{}; ///< When shared arrived.
};

/// A property of requests that may explain why some of a route cost more than others.
struct work_trait {
    route_id route; ///< Route of the requests.
    account_id account; ///< Client account; 0 for a class of body sizes.
    std::uint32_t bodyClass = 0; ///< Class of the body's size by powers of four, counted from 1; 0 for an account.

    /// Orders by route, account and class.
    auto operator<=>(const work_trait &) const = default; // NOLINT(modernize-use-nullptr): false on a defaulted <=>.
};

/// Discounted ratios of the service time of requests with a trait to the mean of their route.
struct trait_work {
    float weight = 0; ///< Weight of the samples.
    float meanRatio = 1; ///< Mean ratio.
    float variance = 0; ///< Variance of the ratio.
    instant updatedAt{}; ///< Time of the last sample.
};

/// What requests cost, learned from the attempts of this VM and from what hubs sum up over all VMs. Bounded: what was
/// observed least recently is dropped.
struct work_estimates {
    std::map<std::string, work_samples, std::less<>> services; ///< By service.
    std::unordered_map<route_id, route_work> routes; ///< By route.
    std::map<work_trait, trait_work> traits; ///< By account or class of body size within a route.
    instant latestAt{}; ///< Latest time of a sample or a shared estimate.
};

/// Estimate before anything was observed; as short as the first latency that the balancing assumes.
constexpr work_estimate defaultWork{.mean = std::chrono::milliseconds(5), .tail = std::chrono::milliseconds(25)};

/// Expected work of a request: by its route, else by its service, else defaultWork. Account and body size are used
/// while they explain a difference from the route's mean.
work_estimate estimateWork(const work_estimates &state, const work_key &key);

/// Whether enough of the request's route or service was observed for an estimate.
bool isWorkKnown(const work_estimates &state, const work_key &key);

/// Applies what a hub sent of a route. It is used in place of this VM's own samples until it is 10 s old.
void applyShared(work_estimates &state, std::string_view service, const shared_estimate &shared, instant now);

/// Whether routes of the service differ so much in their expected work that requests are placed by it. Otherwise one
/// typical latency describes all of them.
bool doRoutesDiffer(const work_estimates &state, std::string_view service);

/// Records the service time of an answered request, without the time that it waited.
void recordWork(work_estimates &state, const work_key &key, duration took, instant now);

} // namespace guavafront
