#include <guavafront/coordination/limits/share_pool.h>

#include <algorithm>
#include <cassert>

namespace guavafront
{

namespace
{

constexpr std::size_t maxHistoryLength = 32; // Entries.
/// Increases closer together than this become one entry of the history.
constexpr duration increaseMergeWindow = std::chrono::milliseconds(50);

/// Adds a change to the history. Increases in quick succession are merged and count from the last of them, which
/// refills too little rather than too much; decreases are never merged.
void recordShareCount(share_pool &pool, instant from, std::uint32_t shares)
{
    share_count_change &last = pool.history.back();
    if (shares == last.shares) {
        return;
    }
    const bool increased = shares > last.shares;
    if (increased && last.increased && from - last.from < increaseMergeWindow) {
        last.shares = shares;
        last.from = from;
        return;
    }
    pool.history.push_back({.from = from, .shares = shares, .increased = increased});
    if (pool.history.size() > maxHistoryLength) {
        pool.history.pop_front();
    }
}

void dropExpiredShares(share_pool &pool, instant now)
{
    const instant expiredAt = pool.nextExpiry;
    std::erase_if(pool.shares, [now](const pooled_share &share) { return share.usableUntil <= now; });
    pool.nextExpiry = instant::max();
    for (const pooled_share &share : pool.shares) {
        pool.nextExpiry = std::min(pool.nextExpiry, share.usableUntil);
    }
    const instant from = std::max(expiredAt, pool.history.back().from);
    recordShareCount(pool, from, static_cast<std::uint32_t>(pool.shares.size()));
}

void refillUntil(pool_reserve &reserve, const limit_settings &settings, const rate_limit &limit,
                 const rate_limit &leased, instant until)
{
    const rate_limit part = limitOfShares(limit, settings, reserve.shares);
    if (until > reserve.refilledAt) {
        const double rate = std::max(0.0, part.ratePerSecond - leased.ratePerSecond);
        reserve.level += refillTokens(settings, rate, until - reserve.refilledAt);
        reserve.refilledAt = until;
    }
    reserve.level = std::min(reserve.level, std::max(0.0, part.burst - leased.burst));
}

} // namespace

share_pool startPool(instant now)
{
    share_pool pool;
    pool.history.push_back({.from = now});
    return pool;
}

void addShare(share_pool &pool, vm_id holder, instant usableUntil, instant now)
{
    usableShares(pool, now);
    if (usableUntil <= now) {
        return;
    }
    const auto place = std::ranges::lower_bound(pool.shares, holder, {}, &pooled_share::holder);
    if (place != pool.shares.end() && place->holder == holder) {
        place->usableUntil = std::max(place->usableUntil, usableUntil);
    } else {
        pool.shares.insert(place, {.holder = holder, .usableUntil = usableUntil});
    }
    pool.nextExpiry = std::min(pool.nextExpiry, usableUntil);
    recordShareCount(pool, now, static_cast<std::uint32_t>(pool.shares.size()));
}

std::uint32_t usableShares(share_pool &pool, instant now)
{
    if (now >= pool.nextExpiry) {
        dropExpiredShares(pool, now);
    }
    return static_cast<std::uint32_t>(pool.shares.size());
}

pool_reserve startReserve(const share_pool &pool)
{
    assert(!pool.history.empty());
    return {.refilledAt = pool.history.front().from, .shares = pool.history.front().shares};
}

void refillReserve(pool_reserve &reserve, share_pool &pool, const limit_settings &settings, const rate_limit &limit,
                   const rate_limit &leased, instant now)
{
    usableShares(pool, now);
    if (reserve.refilledAt < pool.history.front().from) {
        reserve = startReserve(pool);
    }
    for (const share_count_change &change : pool.history) {
        if (change.from < reserve.refilledAt) {
            continue;
        }
        refillUntil(reserve, settings, limit, leased, change.from);
        reserve.shares = change.shares;
    }
    refillUntil(reserve, settings, limit, leased, now);
}

rate_limit limitOfShares(const rate_limit &limit, const limit_settings &settings, std::uint32_t shares)
{
    const double part = static_cast<double>(std::min(shares, settings.fleetSize)) / settings.fleetSize;
    return {.ratePerSecond = limit.ratePerSecond * part, .burst = limit.burst * part};
}

} // namespace guavafront
