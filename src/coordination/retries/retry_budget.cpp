#include <guavafront/coordination/retries/retry_budget.h>

#include <algorithm>

namespace guavafront
{

void addRetryTokens(retry_budget &budget, std::uint32_t budgetPercent)
{
    constexpr float wholePercent = 100;
    budget.tokens = std::min(budget.capacity, budget.tokens + static_cast<float>(budgetPercent) / wholePercent);
}

bool takeRetryToken(retry_budget &budget)
{
    if (budget.tokens < 1) {
        return false;
    }
    budget.tokens -= 1;
    return true;
}

} // namespace guavafront
