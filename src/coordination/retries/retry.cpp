#include <guavafront/coordination/retries/retry.h>

#include <algorithm>

namespace guavafront
{

retry_decision decideRetry(retry_budget &budget, const retry_limits &limits, const failed_attempt &attempt)
{
    const bool allowed = attempt.ran == execution::NotRun || attempt.repeatable;
    if (!allowed || attempt.quarantined || attempt.kind == outcome_kind::Cancelled) {
        return retry_decision::NotAllowed;
    }
    if (attempt.kind == outcome_kind::ConnectionLost && attempt.ran == execution::Unknown && !attempt.staleConnection) {
        return retry_decision::NotAllowed;
    }
    if (attempt.attemptsMade >= limits.maxAttempts || attempt.timeLeft < limits.minTimeLeft) {
        return retry_decision::NotAllowed;
    }
    const bool granted = attempt.kind == outcome_kind::ConnectFailed || takeRetryToken(budget);
    return granted ? retry_decision::Retry : retry_decision::BudgetSpent;
}

bool shouldRetry(retry_budget &budget, const retry_limits &limits, const failed_attempt &attempt)
{
    return decideRetry(budget, limits, attempt) == retry_decision::Retry;
}

duration silenceTimeout(duration typicalLatency)
{
    constexpr int latencyMultiple = 10;
    constexpr duration minTimeout = std::chrono::milliseconds(100);
    return std::max(minTimeout, typicalLatency * latencyMultiple);
}

refusal refusalAfter(const failed_attempt &attempt)
{
    constexpr duration retryAfter = std::chrono::seconds(1);
    if (attempt.quarantined) {
        return {.code = result_code::RequestQuarantined, .ran = attempt.ran};
    }
    switch (attempt.kind) {
    case outcome_kind::Shed:
        return {.code = result_code::UpstreamRefused, .ran = execution::NotRun, .retryAfter = retryAfter};
    case outcome_kind::ConnectFailed:
        return {.code = result_code::ConnectFailed, .ran = execution::NotRun, .retryAfter = retryAfter};
    case outcome_kind::IncompleteAnswer:
        return {.code = result_code::AnswerIncomplete, .ran = execution::Unknown};
    case outcome_kind::Answered:
    case outcome_kind::ErrorAnswer:
    case outcome_kind::ConnectionLost:
    case outcome_kind::TimedOut:
    case outcome_kind::Cancelled:
        break;
    }
    const bool notRun = attempt.ran == execution::NotRun;
    return {.code = notRun ? result_code::DeadlinePassed : result_code::OutcomeUnknown, .ran = attempt.ran};
}

} // namespace guavafront
