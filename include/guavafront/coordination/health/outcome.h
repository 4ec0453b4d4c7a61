#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>

#include <cstdint>
#include <optional>

namespace guavafront
{

/// How one attempt at an instance ended.
enum class outcome_kind : std::uint8_t {
    Answered, ///< Whole answer that reports no fault of the server.
    ErrorAnswer, ///< Whole answer with a server error.
    Shed, ///< The instance refused before running it: load, not a fault.
    IncompleteAnswer, ///< The answer was cut or malformed.
    ConnectionLost, ///< Closed or reset before the answer began.
    ConnectFailed, ///< No connection could be made.
    TimedOut, ///< No answer within the time allowed.
    Cancelled, ///< Given up by the caller: says nothing.
};

/// Evidence of one attempt.
struct outcome {
    instance_id instance; ///< Instance that was tried.
    outcome_kind kind = outcome_kind::Answered; ///< How it ended.
    duration latency{}; ///< From sending to the end.
    bool reusedConnection = false; ///< The connection had carried a request before.
    std::optional<std::uint32_t> reportedLoad; ///< Requests at the instance, in its own words.
    bool suspectRequest = false; ///< An instance died of the same request: its end says nothing of this one.
};

} // namespace guavafront
