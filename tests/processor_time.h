#pragma once

#include <algorithm>
#include <ctime>
#include <limits>
#include <pthread.h>

namespace guavafront
{

/// Processor time in ms that a running thread has used.
inline double threadMilliseconds(pthread_t thread)
{
    clockid_t clock{};
    timespec used{};
    pthread_getcpuclockid(thread, &clock);
    clock_gettime(clock, &used);
    return static_cast<double>(used.tv_sec) * 1e3 + static_cast<double>(used.tv_nsec) / 1e6;
}

/// Processor time in ms that the calling thread has used.
inline double threadMilliseconds()
{
    return threadMilliseconds(pthread_self());
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
