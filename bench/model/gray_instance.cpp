#include "model/gray_instance.h"

#include <algorithm>
#include <cmath>

namespace guavafront::bench
{

namespace
{

/// Time after a gray interval until the instance counts as healthy.
constexpr duration recoveryAfterNoise = std::chrono::seconds(2);
constexpr duration recoveryAfterEvent = std::chrono::seconds(6);

double uniform(std::mt19937_64 &random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

bool isDuring(const gray_interval &interval, instant now)
{
    return interval.from <= now && now < interval.to;
}

} // namespace

void drawNoiseIntervals(std::span<gray_instance> instances, const avoidance_options &options, instant start,
                        std::mt19937_64 &random)
{
    const double healthyPerGray = (1 - options.noiseShare) / options.noiseShare;
    const duration healthyLength(
        static_cast<std::int64_t>(healthyPerGray * static_cast<double>(options.noiseLength.count())));
    for (gray_instance &each : instances) {
        // Exponential lengths are memoryless, so the rest of an interval that began before the run is distributed
        // alike.
        const bool grayAtFirst = uniform(random) < options.noiseShare;
        instant from = start + (grayAtFirst ? duration{} : exponential(healthyLength, random));
        while (from < start + options.length) {
            const instant to = from + exponential(options.noiseLength, random);
            each.grayIntervals.push_back({.from = from,
                                          .to = to,
                                          .healthyAt = to + recoveryAfterNoise,
                                          .failedShare = options.noiseFailedShare});
            from = to + exponential(healthyLength, random);
        }
    }
}

void drawGrayEvent(std::span<gray_instance> instances, const gray_event &event, instant start, std::mt19937_64 &random)
{
    std::vector<std::size_t> order(instances.size());
    std::ranges::generate(order, [next = std::size_t{0}]() mutable { return next++; });
    std::ranges::shuffle(order, random);
    order.resize(static_cast<std::size_t>(std::lround(event.instanceShare * static_cast<double>(order.size()))));
    for (const std::size_t index : order) {
        const instant to = start + event.to;
        instances[index].grayIntervals.push_back({.from = start + event.from,
                                                  .to = to,
                                                  .healthyAt = to + recoveryAfterEvent,
                                                  .isEvent = true,
                                                  .failedShare = event.failedShare,
                                                  .unansweredShare = event.unansweredShare,
                                                  .slowdown = event.slowdown});
    }
}

bool isAffected(const gray_instance &instance, double gray_interval::*share, instant now, std::mt19937_64 &random)
{
    return std::ranges::any_of(instance.grayIntervals, [&](const gray_interval &each) {
        return isDuring(each, now) && uniform(random) < each.*share;
    });
}

double slowdownOf(const gray_instance &instance, instant now)
{
    double factor = 1;
    for (const gray_interval &each : instance.grayIntervals) {
        factor *= isDuring(each, now) ? each.slowdown : 1;
    }
    return factor;
}

bool isHealthy(const gray_instance &instance, instant from, instant to)
{
    return std::ranges::none_of(instance.grayIntervals,
                                [&](const gray_interval &each) { return each.from < to && from < each.healthyAt; });
}

bool isSound(const gray_instance &instance, instant from, instant to)
{
    const bool disturbed = std::ranges::any_of(instance.grayIntervals, [&](const gray_interval &each) {
        return each.isEvent && each.from < to && from < each.healthyAt;
    });
    const bool failed =
        std::ranges::any_of(instance.failed, [&](instant at) { return from - recoveryAfterNoise <= at && at < to; });
    return !disturbed && !failed;
}

duration exponential(duration mean, std::mt19937_64 &random)
{
    const double drawn = std::exponential_distribution<double>(1)(random);
    return duration(static_cast<std::int64_t>(static_cast<double>(mean.count()) * drawn));
}

} // namespace guavafront::bench
