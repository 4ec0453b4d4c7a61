#include "load/load_plan.h"

#include <guavafront/coordination/core/random.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace guavafront
{

namespace
{

constexpr double microsecondsPerSecond = 1e6;

/// Token bucket that starts full; time is counted in seconds from the start of the load.
struct token_bucket {
    double ratePerSecond; ///< Tokens added per second.
    double burst; ///< Maximum number of tokens.
    double tokens = burst; ///< Tokens available at refilledAt.
    double refilledAt = 0; ///< Time of the last refill, in seconds.

    /// Refills the bucket up to now and takes a token; returns false when there is none.
    bool take(double now)
    {
        tokens = std::min(burst, tokens + (now - refilledAt) * ratePerSecond);
        refilledAt = now;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
};

/// Draws a uniform random number from 0 (included) to 1 (excluded).
double fraction(random_source &random)
{
    constexpr unsigned droppedBits = 11; // A double holds only 53 of the 64 random bits.
    constexpr double steps = 9'007'199'254'740'992.0;
    return static_cast<double>(random() >> droppedBits) / steps;
}

std::uint32_t drawRequest(const std::vector<load_request> &requests, double totalWeight, random_source &random)
{
    double left = fraction(random) * totalWeight;
    for (std::uint32_t index = 0; index + 1 < requests.size(); ++index) {
        left -= requests[index].weight;
        if (left < 0) {
            return index;
        }
    }
    return static_cast<std::uint32_t>(requests.size() - 1);
}

void appendArrivals(const load_plan &plan, std::uint32_t index, std::vector<arrival> &arrivals)
{
    const load_account &account = plan.accounts[index];
    if (account.ratePerSecond <= 0) {
        return;
    }
    double totalWeight = 0;
    for (const load_request &request : plan.requests) {
        totalWeight += request.weight;
    }
    const std::size_t targets = account.path == load_path::Direct ? plan.directTargetCount : plan.entryTargetCount;
    assert(targets > 0);
    random_source seeds{plan.seed};
    random_source random{seeds() + index};
    token_bucket bucket{.ratePerSecond = account.limitPerSecond, .burst = account.limitBurst};
    const double end = static_cast<double>(plan.length.count()) / microsecondsPerSecond;
    double now = 0;
    while (true) {
        now -= std::log1p(-fraction(random)) / account.ratePerSecond;
        if (now >= end) {
            return;
        }
        arrivals.push_back({.at = duration(static_cast<std::int64_t>(now * microsecondsPerSecond)),
                            .account = index,
                            .request = drawRequest(plan.requests, totalWeight, random),
                            .target = static_cast<std::uint32_t>(random.below(targets)),
                            .withinRate = account.limitPerSecond <= 0 || bucket.take(now)});
    }
}

} // namespace

std::vector<arrival> scheduleArrivals(const load_plan &plan)
{
    assert(!plan.requests.empty());
    std::vector<arrival> arrivals;
    for (std::uint32_t index = 0; index < plan.accounts.size(); ++index) {
        appendArrivals(plan, index, arrivals);
    }
    std::ranges::stable_sort(arrivals, {}, &arrival::at);
    return arrivals;
}

} // namespace guavafront
