#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>

#include <cstdint>
#include <optional>

namespace guavafront
{

/// How an attempt at an instance ended.
enum class outcome_kind : std::uint8_t {
    Answered, ///< Complete answer without a server error.
    ErrorAnswer, ///< Complete answer with a server error.
    Shed, ///< The instance refused the request before running it, for lack of room. This is no fault.
    IncompleteAnswer, ///< The answer was cut or malformed.
    ConnectionLost, ///< The connection was closed or reset before the answer began.
    ConnectFailed, ///< No connection could be made.
    TimedOut, ///< There was no answer within the time allowed.
    Cancelled, ///< The caller gave up, which is no evidence about the instance.
};

/// Evidence that one attempt gives about its instance.
struct outcome {
    instance_id instance; ///< Instance of the attempt.
    outcome_kind kind = outcome_kind::Answered; ///< How the attempt ended.
    duration latency{}; ///< Time from sending the request to the end of the attempt.
    bool reusedConnection = false; ///< The connection had carried a request before.
    std::optional<std::uint32_t> reportedLoad; ///< Requests running or waiting at the instance, as its answer reports.
    duration work{}; ///< Expected service time of the request when it was sent; 0 when it wasn't known.
    duration expectedWait{}; ///< Expected wait for a slot at the instance when it was sent.
    /// An instance died while it ran the same request. The outcome is then no evidence against this instance.
    bool suspectRequest = false;
};

} // namespace guavafront
