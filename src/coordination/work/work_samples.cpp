#include <guavafront/coordination/work/work_samples.h>

#include <algorithm>
#include <cmath>

namespace guavafront
{

namespace
{

constexpr double firstBinUs = 1'000; ///< Upper end of the first bin in microseconds.
constexpr double binsPerOctave = 4; ///< Bins in which the service time doubles.
constexpr double tailShare = 0.95; ///< Share of the samples below the tail.
/// Time in which samples lose half of their weight, so that a lasting change of a kind's cost is followed in seconds.
constexpr double halfLifeSeconds = 10;
/// Weight below which samples aren't discounted by time, so that rare kinds keep a mean of several samples.
constexpr float keptWeight = 16;

/// Upper end of a bin in microseconds.
double binEndUs(double bin)
{
    return firstBinUs * std::exp2(bin / binsPerOctave);
}

} // namespace

std::uint8_t workBinOf(duration took)
{
    const double us = std::max<double>(1, static_cast<double>(took.count()));
    const double bin = std::ceil(std::log2(us / firstBinUs) * binsPerOctave);
    return static_cast<std::uint8_t>(std::clamp<double>(bin, 0, workBinCount - 1));
}

duration boundedSample(const work_samples &samples, duration took)
{
    constexpr float minWeight = 8; // With fewer samples the mean says little about what is plausible.
    constexpr int plausibleFactor = 10; // Long tails reach seven times the mean.
    const duration least = std::max(took, duration::zero());
    return samples.weight < minWeight ? least : std::min(least, summarize(samples).mean * plausibleFactor);
}

void discountSamples(work_samples &samples, instant now)
{
    if (now <= samples.updatedAt) {
        return;
    }
    const double seconds = std::chrono::duration<double>(now - samples.updatedAt).count();
    samples.updatedAt = now;
    const float kept = std::min(samples.weight, keptWeight);
    const float left = std::max(kept, samples.weight * static_cast<float>(std::exp2(-seconds / halfLifeSeconds)));
    if (left >= samples.weight) {
        return;
    }
    const float share = left / samples.weight;
    for (float &bin : samples.bins) {
        bin *= share;
    }
    samples.sumUs *= share;
    samples.weight = left;
}

void addSamples(work_samples &samples, std::uint8_t bin, float count, double sumUs)
{
    samples.bins[std::min<std::size_t>(bin, workBinCount - 1)] += count;
    samples.weight += count;
    samples.sumUs += sumUs;
}

work_estimate summarize(const work_samples &samples)
{
    if (samples.weight <= 0) {
        return {};
    }
    const double mean = samples.sumUs / samples.weight;
    const double wanted = samples.weight * tailShare;
    double before = 0;
    std::size_t bin = 0;
    while (bin + 1 < workBinCount && before + samples.bins[bin] < wanted) {
        before += samples.bins[bin++];
    }
    const double part = samples.bins[bin] > 0 ? std::clamp((wanted - before) / samples.bins[bin], 0.0, 1.0) : 1;
    const double tail = binEndUs(static_cast<double>(bin) - 1 + part);
    return {.mean = duration(std::llround(mean)), .tail = duration(std::llround(std::max(mean, tail)))};
}

} // namespace guavafront
