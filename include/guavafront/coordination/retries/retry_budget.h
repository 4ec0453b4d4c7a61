#pragma once

#include <cstdint>

namespace guavafront
{

/// Tokens that bound a service's retries at this VM to a share of its first tries (as in Finagle's RetryBudget), so
/// that retries can't multiply a failure.
struct retry_budget {
    float tokens = 5; ///< One for each retry that may be sent now.
    float capacity = 10; ///< Tokens at most, so that a quiet time doesn't pay for a storm.
};

/// A first try earns its share of a retry.
void addRetryTokens(retry_budget &budget, std::uint32_t budgetPercent);

/// Takes a token; false when there is none.
bool takeRetryToken(retry_budget &budget);

} // namespace guavafront
