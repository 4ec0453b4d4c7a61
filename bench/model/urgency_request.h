#pragma once

#include "model/urgency_run.h"

#include <guavafront/coordination/core/time.h>

#include <cstddef>
#include <cstdint>

namespace guavafront::bench
{

/// One sending of a caller's request.
struct request_model {
    std::size_t kind = 0; ///< Index of its kind.
    std::size_t vm = 0; ///< Entry VM.
    std::size_t first = 0; ///< Index of the sending that this one repeats; its own for the first one.
    std::uint32_t sending = 0; ///< Number of earlier sendings.
    instant arrived{}; ///< When it arrived.
    std::size_t instance = 0; ///< Instance of the current attempt.
    instant attemptStartedAt{}; ///< When the current attempt began.
    std::uint32_t attempts = 0; ///< Attempts started or cancelled so far; tells outdated events from current ones.
    std::uint64_t held = 0; ///< Number of the current attempt at its instance; 0 before it arrives there.
    bool served = false; ///< The first sending or a resend of it was answered.
    bool inTarget = false; ///< The same, within the target.
    bool refusedLate = false; ///< A sending was refused later than a third of the target after its arrival.
};

/// Counts a request by what became of its sendings.
inline void count(kind_result &result, const request_model &request)
{
    ++result.requests;
    result.served += request.served ? 1U : 0U;
    result.inTarget += request.inTarget ? 1U : 0U;
    result.lateRefusals += request.refusedLate ? 1U : 0U;
}

} // namespace guavafront::bench
