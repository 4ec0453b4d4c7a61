#include <guavafront/coordination/work/work_estimates.h>

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <limits>

namespace guavafront
{

namespace
{

constexpr std::size_t maxServices = 256; ///< Most services kept; a fleet has tens.
constexpr std::size_t maxRoutes = 512; ///< Most routes kept, about 300 bytes each.
constexpr std::size_t maxTraits = 1'024; ///< Most accounts and body classes kept.
constexpr float minRouteWeight = 3; ///< Weight of samples from which on a route has an estimate of its own.
constexpr float minComparedWeight = 8; ///< Weight of samples from which on a route is compared with others.
/// Least ratio of two routes' means that counts as a difference; smaller ones arise by chance and cost little.
constexpr double leastDifferenceFactor = 1.5;
constexpr float minTraitWeight = 12; ///< Weight of samples from which on a trait may explain a difference.
constexpr float traitMemory = 64; ///< Most weight of a trait's samples, so that it follows changes.
constexpr float minTraitDifference = 0.3F; ///< Least difference of the mean ratio from 1 that is used.
constexpr float traitStandardErrors = 3; ///< Least difference in standard errors, so that chance isn't taken for one.

/// Class of a body size by powers of four, counted from 1.
std::uint32_t bodyClassOf(std::uint32_t bytes)
{
    return 1 + static_cast<std::uint32_t>(std::bit_width(bytes) + 1) / 2;
}

std::array<work_trait, 2> traitsOf(const work_key &key)
{
    return {work_trait{key.route, key.account, 0}, work_trait{key.route, {}, bodyClassOf(key.bodyBytes)}};
}

/// Drops the entry that was updated least recently when a new one wouldn't fit.
template<class table, class time_of>
void makeRoom(table &entries, std::size_t most, const time_of &timeOf)
{
    if (entries.size() < most) {
        return;
    }
    const auto oldest =
        std::ranges::min_element(entries, {}, [&timeOf](const auto &each) { return timeOf(each.second); });
    entries.erase(oldest);
}

work_samples &serviceSamples(work_estimates &state, std::string_view service)
{
    const auto found = state.services.find(service);
    if (found != state.services.end()) {
        return found->second;
    }
    makeRoom(state.services, maxServices, [](const work_samples &each) { return each.updatedAt; });
    return state.services[std::string(service)];
}

/// The state of a route; a route that changed its service starts anew.
route_work &routeOf(work_estimates &state, route_id id, std::string_view service)
{
    if (!state.routes.contains(id)) {
        makeRoom(state.routes, maxRoutes,
                 [](const route_work &each) { return std::max(each.samples.updatedAt, each.sharedAt); });
    }
    route_work &route = state.routes[id];
    if (route.service != service) {
        route = {.service = std::string(service), .samples = {}, .shared = {}};
    }
    return route;
}

void recordTrait(work_estimates &state, const work_trait &trait, float ratio, instant now)
{
    if (!state.traits.contains(trait)) {
        makeRoom(state.traits, maxTraits, [](const trait_work &each) { return each.updatedAt; });
    }
    trait_work &work = state.traits[trait];
    work.weight = std::min(work.weight + 1, traitMemory);
    const float difference = ratio - work.meanRatio;
    work.meanRatio += difference / work.weight;
    work.variance += (difference * (ratio - work.meanRatio) - work.variance) / work.weight;
    work.updatedAt = now;
}

/// The ratio of the trait's mean to its route's, as far as the samples prove a difference; otherwise 1.
float explainedRatio(const work_estimates &state, const work_trait &trait)
{
    const auto found = state.traits.find(trait);
    if (found == state.traits.end() || found->second.weight < minTraitWeight) {
        return 1;
    }
    const trait_work &work = found->second;
    const float error = std::sqrt(work.variance / work.weight);
    const bool proved = std::abs(work.meanRatio - 1) > std::max(minTraitDifference, traitStandardErrors * error);
    return proved ? work.meanRatio : 1;
}

/// Ratio of the request's expected work to its route's mean, by the trait that differs most.
float ratioToRoute(const work_estimates &state, const work_key &key)
{
    float ratio = 1;
    for (const work_trait &trait : traitsOf(key)) {
        const float each = explainedRatio(state, trait);
        ratio = std::abs(std::log(each)) > std::abs(std::log(ratio)) ? each : ratio;
    }
    return ratio;
}

duration scaled(duration time, float factor)
{
    return duration(std::llround(static_cast<double>(time.count()) * factor));
}

/// Whether the hub's sums are used for a route: they are recent, or this VM's own samples are too few.
bool usesShared(const work_estimates &state, const route_work &route)
{
    constexpr duration sharedValidity = std::chrono::seconds(10);
    const bool isFresh = state.latestAt - route.sharedAt < sharedValidity;
    return route.sharedWeight >= minRouteWeight && (isFresh || route.samples.weight < minComparedWeight);
}

/// Weight of the samples that a route's estimate rests on.
float weightOf(const work_estimates &state, const route_work &route)
{
    return usesShared(state, route) ? route.sharedWeight : route.samples.weight;
}

/// The route's state if enough of it was observed; otherwise null.
const route_work *findRoute(const work_estimates &state, const work_key &key)
{
    const auto route = state.routes.find(key.route);
    const bool known = route != state.routes.end() && route->second.service == key.service
                       && weightOf(state, route->second) >= minRouteWeight;
    return known ? &route->second : nullptr;
}

} // namespace

work_estimate estimateWork(const work_estimates &state, const work_key &key)
{
    if (const route_work *route = findRoute(state, key)) {
        const work_estimate estimate = usesShared(state, *route) ? route->shared : summarize(route->samples);
        const float ratio = ratioToRoute(state, key);
        return {.mean = scaled(estimate.mean, ratio), .tail = scaled(estimate.tail, ratio)};
    }
    const auto service = state.services.find(key.service);
    return service != state.services.end() ? summarize(service->second) : defaultWork;
}

bool isWorkKnown(const work_estimates &state, const work_key &key)
{
    return findRoute(state, key) || state.services.contains(key.service);
}

void applyShared(work_estimates &state, std::string_view service, const shared_estimate &shared, instant now)
{
    state.latestAt = std::max(state.latestAt, now);
    route_work &route = routeOf(state, shared.route, service);
    route.shared = shared.work;
    route.sharedWeight = static_cast<float>(shared.weight);
    route.sharedAt = now;
}

bool doRoutesDiffer(const work_estimates &state, std::string_view service)
{
    double least = std::numeric_limits<double>::max();
    double most = 0;
    for (const auto &[id, route] : state.routes) {
        if (route.service == service && weightOf(state, route) >= minComparedWeight) {
            const double mean = usesShared(state, route) ? static_cast<double>(route.shared.mean.count())
                                                         : route.samples.sumUs / route.samples.weight;
            least = std::min(least, mean);
            most = std::max(most, mean);
        }
    }
    return most > least * leastDifferenceFactor;
}

void recordWork(work_estimates &state, const work_key &key, duration took, instant now)
{
    const auto add = [took, now](work_samples &samples) {
        const duration bounded = boundedSample(samples, took);
        discountSamples(samples, now);
        addSamples(samples, workBinOf(bounded), 1, static_cast<double>(bounded.count()));
    };
    state.latestAt = std::max(state.latestAt, now);
    work_samples &route = routeOf(state, key.route, key.service).samples;
    if (route.weight >= minRouteWeight) {
        const duration mean = std::max(duration(1), summarize(route).mean);
        const auto ratio = static_cast<float>(static_cast<double>(boundedSample(route, took).count())
                                              / static_cast<double>(mean.count()));
        for (const work_trait &trait : traitsOf(key)) {
            recordTrait(state, trait, ratio, now);
        }
    }
    add(route);
    add(serviceSamples(state, key.service));
}

} // namespace guavafront
