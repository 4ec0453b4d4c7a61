#pragma once

#include <guavafront/coordination/core/time.h>

#include <boost/histogram.hpp>

#include <cstdint>

namespace guavafront
{

/// Latencies in buckets that grow by 0.5%: a quantile is at most that far above the true one.
class latency_histogram
{
public:
    /// No latencies.
    latency_histogram();

    /// Counts one latency; those outside 1 us to 100 s go to the first or last bucket.
    void add(duration latency);

    /// Adds all latencies of other.
    void merge(const latency_histogram &other);

    /// Latency that a share of all (above 0, up to 1) doesn't exceed: the bucket's upper bound; 0 when empty.
    duration quantile(double share) const;

    /// Latencies counted.
    std::uint64_t count() const;

private:
    using axis_type =
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log, boost::histogram::use_default,
                                        boost::histogram::axis::option::overflow_t>;
    using histogram_type =
        boost::histogram::histogram<std::tuple<axis_type>, boost::histogram::dense_storage<std::uint64_t>>;

    histogram_type m_buckets; ///< By microseconds.
    std::uint64_t m_count = 0; ///< Sum over the buckets.
};

} // namespace guavafront
