#include "model/gray_instance.h"

#include <algorithm>
#include <cmath>

namespace guavafront::bench
{

namespace
{

constexpr duration restAfterNoise = std::chrono::seconds(2);
constexpr duration restAfterSpell = std::chrono::seconds(6);

double uniform(std::mt19937_64 &random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

bool isDuring(const gray_time &spell, instant now)
{
    return spell.from <= now && now < spell.to;
}

} // namespace

void drawNoise(std::span<gray_instance> instances, const avoidance_options &options, instant start,
               std::mt19937_64 &random)
{
    const double soundPerGray = (1 - options.noiseShare) / options.noiseShare;
    const duration soundLength(
        static_cast<std::int64_t>(soundPerGray * static_cast<double>(options.noiseLength.count())));
    for (gray_instance &each : instances) {
        // The lengths have no memory, so that a run may begin in the middle of one.
        const bool grayAtFirst = uniform(random) < options.noiseShare;
        instant from = start + (grayAtFirst ? duration{} : exponential(soundLength, random));
        while (from < start + options.length) {
            const instant to = from + exponential(options.noiseLength, random);
            each.gray.push_back({.from = from, .to = to, .soundAt = to + restAfterNoise, .fails = options.noiseFails});
            from = to + exponential(soundLength, random);
        }
    }
}

void drawSpell(std::span<gray_instance> instances, const gray_spell &spell, instant start, std::mt19937_64 &random)
{
    std::vector<std::size_t> order(instances.size());
    std::ranges::generate(order, [next = std::size_t{0}]() mutable { return next++; });
    std::ranges::shuffle(order, random);
    order.resize(static_cast<std::size_t>(std::lround(spell.share * static_cast<double>(order.size()))));
    for (const std::size_t index : order) {
        const instant to = start + spell.to;
        instances[index].gray.push_back({.from = start + spell.from,
                                         .to = to,
                                         .soundAt = to + restAfterSpell,
                                         .fails = spell.fails,
                                         .mute = spell.mute,
                                         .slower = spell.slower});
    }
}

bool strikes(const gray_instance &instance, double gray_time::*share, instant now, std::mt19937_64 &random)
{
    return std::ranges::any_of(
        instance.gray, [&](const gray_time &each) { return isDuring(each, now) && uniform(random) < each.*share; });
}

double slownessOf(const gray_instance &instance, instant now)
{
    double factor = 1;
    for (const gray_time &each : instance.gray) {
        factor *= isDuring(each, now) ? each.slower : 1;
    }
    return factor;
}

bool isSound(const gray_instance &instance, instant from, instant to)
{
    return std::ranges::none_of(instance.gray,
                                [&](const gray_time &each) { return each.from < to && from < each.soundAt; });
}

duration exponential(duration mean, std::mt19937_64 &random)
{
    const double drawn = std::exponential_distribution<double>(1)(random);
    return duration(static_cast<std::int64_t>(static_cast<double>(mean.count()) * drawn));
}

} // namespace guavafront::bench
