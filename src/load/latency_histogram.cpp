#include "load/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace guavafront
{

namespace
{

constexpr double lowestUs = 1;
constexpr double highestUs = 1e8;
constexpr unsigned bucketCount = 3'694; // ln(1e8) / ln(1.005)

} // namespace

latency_histogram::latency_histogram()
    : m_buckets(std::make_tuple(axis_type(bucketCount, lowestUs, highestUs)))
{
}

void latency_histogram::add(duration latency)
{
    m_buckets(std::max(static_cast<double>(latency.count()), lowestUs));
    ++m_count;
}

void latency_histogram::merge(const latency_histogram &other)
{
    m_buckets += other.m_buckets;
    m_count += other.m_count;
}

duration latency_histogram::quantile(double share) const
{
    if (m_count == 0) {
        return {};
    }
    const auto rank = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(m_count)));
    std::uint64_t below = 0;
    const axis_type &buckets = m_buckets.axis();
    for (int index = 0; index < buckets.size(); ++index) {
        below += m_buckets.at(index);
        if (below >= rank) {
            return duration(static_cast<std::int64_t>(std::ceil(buckets.bin(index).upper())));
        }
    }
    return duration(static_cast<std::int64_t>(highestUs));
}

std::uint64_t latency_histogram::count() const
{
    return m_count;
}

} // namespace guavafront
