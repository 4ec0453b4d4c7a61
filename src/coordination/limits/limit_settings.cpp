#include <guavafront/coordination/limits/limit_settings.h>

#include <cassert>
#include <cmath>

namespace guavafront
{

const rate_limit &limitOf(const limit_table &table, account_id account)
{
    const auto found = table.exceptions.find(account);
    return found == table.exceptions.end() ? table.defaults : found->second;
}

limit_slot slotOf(const limit_settings &settings, account_id account)
{
    assert(settings.slotCount > 0);
    return static_cast<limit_slot>(account.value % settings.slotCount);
}

duration extendedForDrift(const limit_settings &settings, duration span)
{
    // (1 + drift) / (1 - drift) is below 1 + 3 * drift for every drift below a third.
    const double micros = static_cast<double>(span.count()) * (1 + 3 * settings.clockDrift);
    return duration(static_cast<duration::rep>(std::ceil(micros)) + 1);
}

double refillTokens(const limit_settings &settings, double rate, duration span)
{
    return rate * (1 - settings.clockDrift) * std::chrono::duration<double>(span).count();
}

} // namespace guavafront
