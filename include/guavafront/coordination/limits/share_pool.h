#pragma once

#include <guavafront/coordination/limits/limit_settings.h>

#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace guavafront
{

/// One VM's share in an owner's pool.
struct pooled_share {
    vm_id holder; ///< VM that delegated the share.
    instant usableUntil{}; ///< Leases granted before then end before the share returns to its VM.
};

/// A change of the number of usable shares.
struct share_count_change {
    instant from{}; ///< When the number changed.
    std::uint32_t shares = 0; ///< Usable shares from then on.
    bool increased = false; ///< The number is higher than before.
};

/// The shares that the VMs have delegated to an owner for one slot.
struct share_pool {
    std::vector<pooled_share> shares; ///< In order of their holders' ids.
    std::deque<share_count_change> history; ///< The latest changes of the number of shares, oldest first; never empty.
    instant nextExpiry = instant::max(); ///< No share expires before then.
};

/// Tokens of one account that aren't leased out; the unleased part of the pooled shares refills them.
struct pool_reserve {
    double level = 0; ///< Tokens at refilledAt.
    instant refilledAt{}; ///< When the level was last computed.
    std::uint32_t shares = 0; ///< Usable shares in the pool at refilledAt.
};

/// Returns the empty pool of an owner that starts now.
share_pool startPool(instant now);

/// Adds a VM's share or extends the time until which it is usable.
void addShare(share_pool &pool, vm_id holder, instant usableUntil, instant now);

/// Removes expired shares and returns the number of usable ones.
std::uint32_t usableShares(share_pool &pool, instant now);

/// Returns the reserve of an account that hasn't been used since the start of the pool's history.
pool_reserve startReserve(const share_pool &pool);

/// Refills a reserve until now. `leased` is left out of rate and capacity, because the lessees refill it themselves.
void refillReserve(pool_reserve &reserve, share_pool &pool, const limit_settings &settings, const rate_limit &limit,
                   const rate_limit &leased, instant now);

/// Returns the part of a limit that a number of shares gives.
rate_limit limitOfShares(const rate_limit &limit, const limit_settings &settings, std::uint32_t shares);

} // namespace guavafront
