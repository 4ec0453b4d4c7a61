#pragma once

#include <algorithm>
#include <ctime>
#include <limits>

namespace guavafront
{

/// Processor time in ms that the calling thread has used.
inline double threadMilliseconds()
{
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) * 1e3 + static_cast<double>(used.tv_nsec) / 1e6;
}

/// Processor time in ms that a call takes on the calling thread: the least of three, since other processes may evict
/// its data from the processor's caches.
template<class function>
double threadMillisecondsOf(function call)
{
    constexpr int attempts = 3;
    double least = std::numeric_limits<double>::max();
    for (int attempt = 0; attempt < attempts; ++attempt) {
        const double before = threadMilliseconds();
        call();
        least = std::min(least, threadMilliseconds() - before);
    }
    return least;
}

} // namespace guavafront
