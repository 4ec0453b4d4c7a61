#pragma once

#include <guavafront/coordination/core/time.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace guavafront
{

/// Expected service time without waiting, in its mean and its tail (95 of 100 take less).
struct work_estimate {
    duration mean{}; ///< Mean service time.
    duration tail{}; ///< Service time that 95 of 100 requests stay below.
    bool operator==(const work_estimate &) const = default; ///< Memberwise equality.
};

/// Number of bins of a histogram of service times. Each bin is wider than the one before by a quarter of an octave, so
/// that 64 of them reach from 1 ms to 65 s.
constexpr std::size_t workBinCount = 64;

/// Discounted histogram of the service times of one kind of request.
struct work_samples {
    std::array<float, workBinCount> bins{}; ///< Weight of the samples in each bin.
    float weight = 0; ///< Weight of all samples.
    double sumUs = 0; ///< Weighted sum of the samples in microseconds.
    instant updatedAt{}; ///< Time of the last sample.
};

/// Bin of a service time.
std::uint8_t workBinOf(duration took);

/// Bounds a service time by what the samples make plausible, so that one hung request doesn't decide the mean.
duration boundedSample(const work_samples &samples, duration took);

/// Discounts the samples for the time since the last one.
void discountSamples(work_samples &samples, instant now);

/// Adds count service times of one bin; sumUs is their sum in microseconds. discountSamples() comes first.
void addSamples(work_samples &samples, std::uint8_t bin, float count, double sumUs);

/// Mean and tail of the samples; zero when there are none.
work_estimate summarize(const work_samples &samples);

} // namespace guavafront
