#pragma once

#include <guavafront/coordination/core/refusal.h>
#include <guavafront/coordination/health/outcome.h>
#include <guavafront/coordination/retries/retry_budget.h>

#include <cstdint>

namespace guavafront
{

/// Limits of the attempts of one request.
struct retry_limits {
    std::uint32_t maxAttempts = 3; ///< Attempts of one request, the first included.
    duration minTimeLeft = std::chrono::milliseconds(5); ///< With less time left a retry can't end in time.
};

/// A failed attempt of a request.
struct failed_attempt {
    outcome_kind kind = outcome_kind::ConnectFailed; ///< How it ended.
    execution ran = execution::Unknown; ///< NotRun only when proved.
    bool repeatable = false; ///< The request may run more than once.
    bool staleConnection = false; ///< Lost at once on a kept connection, which was likely closed before.
    bool quarantined = false; ///< The request is held back.
    std::uint32_t attemptsMade = 1; ///< Attempts made so far.
    duration timeLeft{}; ///< Until the request's deadline.
};

/// Whether a request whose attempt failed is tried at another instance. A request that may not be repeated is, only
/// when it was proved not to have run. After a connection that was lost in the midst of running it there is no further
/// attempt: the request may be what killed the instance. Failed connections cost no token: no upstream did any work for
/// them.
bool shouldRetry(retry_budget &budget, const retry_limits &limits, const failed_attempt &attempt);

/// How long a repeatable request waits on a used connection before it is tried on another one: ten times the usual
/// latency, so that a connection that went silent costs less than the deadline.
duration silenceTimeout(duration typicalLatency);

/// What the caller is told when there is no further attempt.
refusal refusalAfter(const failed_attempt &attempt);

} // namespace guavafront
