#pragma once

#include <guavafront/coordination/core/time.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace guavafront::bench
{

/// Virtual clock with scheduled actions. They run in order of time; those of the same time in the order of scheduling.
class event_queue
{
public:
    /// Current virtual time: that of the running action.
    instant now() const
    {
        return m_now;
    }

    /// Schedules an action for a time, or for now when the time is past.
    void at(instant when, std::function<void()> action)
    {
        m_events.push({std::max(when, m_now), m_next++, std::move(action)});
    }

    /// Schedules an action after a delay.
    void after(duration delay, std::function<void()> action)
    {
        at(m_now + delay, std::move(action));
    }

    /// Runs all actions scheduled before a time.
    void runUntil(instant end)
    {
        while (!m_events.empty() && m_events.top().when < end) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.when;
            next.action();
        }
    }

private:
    struct event {
        instant when; ///< Time at which the action runs.
        std::uint64_t order; ///< Order among events of the same time.
        std::function<void()> action; ///< Called at that time.

        bool operator<(const event &other) const
        {
            return std::pair(when, order) > std::pair(other.when, other.order);
        }
    };

    instant m_now{}; ///< Time of the running action.
    std::uint64_t m_next = 0; ///< Order of the next scheduled action.
    std::priority_queue<event> m_events; ///< Scheduled actions, the earliest on top.
};

} // namespace guavafront::bench
