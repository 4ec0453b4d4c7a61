#pragma once

#include <guavafront/coordination/core/refusal.h>
#include <guavafront/coordination/health/outcome.h>
#include <guavafront/coordination/retries/retry_budget.h>

#include <cstdint>

namespace guavafront
{

/// Limits on the attempts of one request.
struct retry_limits {
    std::uint32_t maxAttempts = 3; ///< Largest number of attempts, including the first.
    /// With less time to the deadline no retry is made, because it could not finish.
    duration minTimeLeft = std::chrono::milliseconds(5);
};

/// A failed attempt of a request, with the facts that decide on a retry.
struct failed_attempt {
    outcome_kind kind = outcome_kind::ConnectFailed; ///< How the attempt ended.
    execution ran = execution::Unknown; ///< NotRun only if it is proved that the instance did not run the request.
    bool repeatable = false; ///< Whether the request may run more than once.
    bool staleConnection = false; ///< The attempt failed at once on a reused connection, which the instance had
                                  ///< probably closed before.
    bool quarantined = false; ///< The request is in quarantine and must not be sent again.
    std::uint32_t attemptsMade = 1; ///< Attempts of the request so far, including this one.
    duration timeLeft{}; ///< Time to the request's deadline.
};

/// Whether a request whose attempt failed is tried again.
enum class retry_decision : std::uint8_t {
    Retry, ///< It is tried at another instance.
    NotAllowed, ///< What is known of the attempt and the request forbids it.
    BudgetSpent, ///< Only the budget forbids it.
};

/// Decides whether a request whose attempt failed is tried at another instance, and takes a token from the budget for
/// the retry. A request that is not repeatable is retried only if it is proved not to have run. There is no retry after
/// a connection was lost while the request may have been running, because the request may have crashed the instance. A
/// retry after a failed connect takes no token, because no upstream did any work for the failed attempt.
retry_decision decideRetry(retry_budget &budget, const retry_limits &limits, const failed_attempt &attempt);

/// Whether decideRetry() decides on a retry.
bool shouldRetry(retry_budget &budget, const retry_limits &limits, const failed_attempt &attempt);

/// Returns how long a repeatable request waits for an answer on a reused connection before it is tried on another one:
/// ten times the typical latency and at least 100 ms. A dead connection then costs less time than waiting for the
/// request's deadline would.
duration silenceTimeout(duration typicalLatency);

/// Returns the refusal that the caller gets when there is no further attempt.
refusal refusalAfter(const failed_attempt &attempt);

} // namespace guavafront
