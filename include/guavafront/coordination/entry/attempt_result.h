#pragma once

#include <guavafront/coordination/core/time.h>

#include <cstdint>
#include <optional>

namespace guavafront
{

/// How one try of a request at one upstream instance ended.
enum class attempt_outcome : std::uint8_t {
    Answered, ///< A whole answer came.
    RefusedNotRun, ///< The upstream said that it did not run the request.
    ConnectFailed, ///< No connection.
    ClosedEarly, ///< The connection ended before the first byte of an answer.
    AnswerIncomplete, ///< The answer was cut or malformed.
    TimedOut, ///< The deadline passed without a whole answer.
    Cancelled, ///< The entry gave up on it.
};

/// End of one try.
struct attempt_result {
    attempt_outcome outcome = attempt_outcome::ConnectFailed; ///< How it ended.
    bool mayHaveBeenSent = false; ///< A byte of the request may have reached the upstream.
    bool newConnection = false; ///< The connection was made for this try.
    std::uint16_t status = 0; ///< HTTP status when answered.
    duration connectTime{}; ///< Time to set the connection up; 0 on a kept one.
    duration latency{}; ///< From the start of the try to its end.
    std::optional<std::uint32_t> reportedLoad; ///< Requests that run and wait at the instance, in its own words.
    bool wrongInstance = false; ///< Another instance answered at the address.
};

} // namespace guavafront
