#pragma once

#include <guavafront/coordination/core/time.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace guavafront::bench
{

/// Virtual time: actions run in order of their time, those of one time in order of their posting.
class event_queue
{
public:
    /// Time of the action that runs.
    instant now() const
    {
        return m_now;
    }

    /// Runs an action at a time, not before now.
    void at(instant when, std::function<void()> action)
    {
        m_events.push({std::max(when, m_now), m_next++, std::move(action)});
    }

    /// Runs an action after a delay.
    void after(duration delay, std::function<void()> action)
    {
        at(m_now + delay, std::move(action));
    }

    /// Runs all actions before a time.
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
        instant when; ///< Time to run.
        std::uint64_t order; ///< Among those of one time.
        std::function<void()> action; ///< What to do.

        bool operator<(const event &other) const
        {
            return std::pair(when, order) > std::pair(other.when, other.order);
        }
    };

    instant m_now{}; ///< Time of the action that runs.
    std::uint64_t m_next = 0; ///< Order of the next action.
    std::priority_queue<event> m_events; ///< Earliest on top.
};

} // namespace guavafront::bench
