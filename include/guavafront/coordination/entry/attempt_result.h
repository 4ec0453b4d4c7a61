#pragma once

#include <guavafront/coordination/core/time.h>

#include <cstdint>
#include <optional>

namespace guavafront
{

/// How one attempt, that is one try of a request at one upstream instance, ended.
enum class attempt_outcome : std::uint8_t {
    Answered, ///< A complete answer arrived.
    RefusedNotRun, ///< The upstream said that it did not run the request.
    ConnectFailed, ///< No connection could be set up.
    ClosedEarly, ///< The connection ended before the first byte of an answer.
    AnswerIncomplete, ///< The answer was cut off or malformed.
    TimedOut, ///< No complete answer arrived before the attempt's deadline or silence limit.
    Cancelled, ///< The entry VM cancelled the attempt.
};

/// Result of one attempt, as the front end reports it to the entry's decisions.
struct attempt_result {
    attempt_outcome outcome = attempt_outcome::ConnectFailed; ///< How the attempt ended.
    bool mayHaveBeenSent = false; ///< A byte of the request may have reached the upstream.
    bool newConnection = false; ///< The connection was set up for this attempt, not reused.
    std::uint16_t status = 0; ///< HTTP status of the answer; meaningful only for Answered.
    duration connectTime{}; ///< Time to set up the connection; 0 on a reused one.
    duration latency{}; ///< Time from the start of the attempt to its end.
    std::optional<std::uint32_t> reportedLoad; ///< Running and waiting requests that the instance reported.
    bool wrongInstance = false; ///< A different instance answered at the address.
    bool instanceLeaves = false; ///< The instance said with its answer that it leaves.
    duration requestedPause{}; ///< Time in which the instance, which refused, wants no further request; 0 for none.
};

} // namespace guavafront
