#pragma once

#include <cstdint>

namespace guavafront
{

/// Token bucket that limits a service's retries at this VM to a share of its first attempts (as in Finagle's
/// RetryBudget), so that retries cannot amplify an overload.
struct retry_budget {
    float tokens = 5; ///< Retries that may be sent now; a fraction counts towards the next one.
    /// Largest number of tokens. The limit keeps a long time without failures from funding a retry storm.
    float capacity = 10;
};

/// Adds the tokens that the first attempt of a request earns: budgetPercent / 100 of a retry. Call it once per request.
void addRetryTokens(retry_budget &budget, std::uint32_t budgetPercent);

/// Takes the token for one retry. Returns false, and takes nothing, if less than one token is left.
bool takeRetryToken(retry_budget &budget);

} // namespace guavafront
