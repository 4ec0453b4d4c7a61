#pragma once

#include <guavafront/coordination/core/time.h>

#include <ctime>
#include <span>
#include <stop_token>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace guavafront
{

/// Holds processes to a share of a core each: one that has used its part of a period is stopped until the next period
/// begins, as by a quota of the platform. The destructor lets all of them run.
class processor_quota
{
public:
    /// Begins to hold the processes, which must outlive the quota.
    processor_quota(std::span<const int> processes, double share);
    ~processor_quota();
    processor_quota(const processor_quota &) = delete;
    processor_quota &operator=(const processor_quota &) = delete;

private:
    /// A process that is held.
    struct held_process {
        pid_t id = 0; ///< Process ID.
        clockid_t clock = 0; ///< Clock of its processor time.
        duration used{}; ///< Processor time that was seen last.
        duration left{}; ///< Processor time until it is stopped; below 0 when it ran longer.
        bool stopped = false; ///< It waits for the next period.
    };

    static duration read(clockid_t clock);
    void run(const std::stop_token &end);
    void hold(held_process &each) const;

    const duration m_quota; ///< Processor time in each period.
    std::vector<held_process> m_processes; ///< Used by the thread only, once it runs.
    std::jthread m_thread; ///< Watches the processes.
};

} // namespace guavafront
