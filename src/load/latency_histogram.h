#pragma once

#include <guavafront/coordination/core/time.h>

#include <boost/histogram.hpp>

#include <cstdint>

namespace guavafront
{

/// Histogram of latencies with buckets whose width grows by 0.5%, so a quantile is at most 0.5% above the exact one.
class latency_histogram
{
public:
    /// Creates an empty histogram.
    latency_histogram();

    /// Adds one latency; values below 1 us count in the first bucket, values above 100 s in the overflow bucket.
    void add(duration latency);

    /// Adds all latencies of another histogram.
    void merge(const latency_histogram &other);

    /// Upper bound of the bucket that holds the quantile for a share of the latencies (above 0, up to 1); 0 when the
    /// histogram is empty.
    duration quantile(double share) const;

    /// Number of latencies added.
    std::uint64_t count() const;

private:
    using axis_type =
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log, boost::histogram::use_default,
                                        boost::histogram::axis::option::overflow_t>;
    using histogram_type =
        boost::histogram::histogram<std::tuple<axis_type>, boost::histogram::dense_storage<std::uint64_t>>;

    histogram_type m_buckets; ///< Number of latencies by bucket, over microseconds.
    std::uint64_t m_count = 0; ///< Number of latencies in all buckets.
};

} // namespace guavafront
