#pragma once

#include "wire/envelope.h"

#include <guavafront/coordination/core/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace guavafront
{

/// Time that the peers task spends on each kind of work, so that a log tells what keeps it from the rest.
class work_times
{
public:
    /// Adds the time since begin to the messages received on a channel.
    void addReceived(channel kind, instant begin);

    /// Adds the time since begin to the requests of this VM's other tasks.
    void addRequest(instant begin);

    /// Adds the time since begin to the work that the task's timer does.
    void addTick(instant begin);

    /// Returns what has been added since the last call as a text, the longest first, and begins anew.
    std::string take();

private:
    struct share {
        std::uint64_t count = 0; ///< Pieces of work.
        duration time{}; ///< Time spent on them.
    };

    static constexpr std::size_t channelCount = static_cast<std::size_t>(channel::Last) + 1;
    static constexpr std::size_t requests = channelCount; ///< Position in m_shares of other tasks' requests.
    static constexpr std::size_t ticks = requests + 1; ///< Position in m_shares of the timer's work.

    void add(std::size_t position, instant begin);
    static std::string nameOf(std::size_t position);

    std::array<share, ticks + 1> m_shares; ///< Received messages by channel, requests, the timer.
};

} // namespace guavafront
