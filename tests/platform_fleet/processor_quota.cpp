#include "platform_fleet/processor_quota.h"

#include <poll.h>

#include <algorithm>
#include <csignal>

namespace guavafront
{

namespace
{

constexpr duration period = std::chrono::milliseconds(100);
constexpr int watchIntervalMs = 1;

duration quotaOf(double share)
{
    return std::chrono::duration_cast<duration>(period * share);
}

} // namespace

processor_quota::processor_quota(std::span<const int> processes, double share)
    : m_quota(quotaOf(share))
{
    for (const int id : processes) {
        held_process held{.id = id, .left = m_quota};
        clock_getcpuclockid(id, &held.clock);
        held.used = read(held.clock);
        m_processes.push_back(held);
    }
    m_thread = std::jthread([this](const std::stop_token &end) { run(end); });
}

processor_quota::~processor_quota()
{
    m_thread.request_stop();
    m_thread.join();
    for (const held_process &each : m_processes) {
        ::kill(each.id, SIGCONT);
    }
}

duration processor_quota::read(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    return std::chrono::duration_cast<duration>(std::chrono::seconds(time.tv_sec)
                                                + std::chrono::nanoseconds(time.tv_nsec));
}

void processor_quota::run(const std::stop_token &end)
{
    duration nextPeriod = read(CLOCK_MONOTONIC) + period;
    while (!end.stop_requested()) {
        poll(nullptr, 0, watchIntervalMs);
        const bool begins = read(CLOCK_MONOTONIC) >= nextPeriod;
        if (begins) {
            nextPeriod += period;
        }
        for (held_process &each : m_processes) {
            if (begins) {
                each.left = std::min(each.left + m_quota, m_quota);
            }
            hold(each);
        }
    }
}

void processor_quota::hold(held_process &each) const
{
    const duration used = read(each.clock);
    each.left -= used - each.used;
    each.used = used;
    const bool stop = each.left <= duration{};
    if (stop != each.stopped) {
        ::kill(each.id, stop ? SIGSTOP : SIGCONT);
        each.stopped = stop;
    }
}

} // namespace guavafront
