#pragma once

#include <guavafront/coordination/limits/limit_settings.h>

#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace guavafront
{

/// Share of one VM at an owner.
struct pooled_share {
    vm_id holder; ///< VM it belongs to.
    instant usableUntil{}; ///< Leases granted until then end before the share goes back.
};

/// Number of shares from a moment on.
struct share_count_change {
    instant from{}; ///< Start.
    std::uint32_t shares = 0; ///< Usable shares.
    bool increased = false; ///< More than before.
};

/// The shares that the VMs have delegated to an owner for one slot.
struct share_pool {
    std::vector<pooled_share> shares; ///< Ordered by holder.
    std::deque<share_count_change> history; ///< Latest changes of the weight, oldest first; never empty.
    instant nextExpiry = instant::max(); ///< No share lapses before.
};

/// Tokens of one account that its owner keeps in reserve, minted from the pool.
struct pool_reserve {
    double level = 0; ///< Tokens.
    instant refilledAt{}; ///< Level is that of this moment.
    std::uint32_t shares = 0; ///< Weight of the pool at that moment.
};

/// Empty pool of an owner that starts now.
share_pool startPool(instant now);

/// Adds a VM's share or prolongs it.
void addShare(share_pool &pool, vm_id holder, instant usableUntil, instant now);

/// Drops shares that have lapsed and gives the number of usable ones.
std::uint32_t usableShares(share_pool &pool, instant now);

/// Reserve of an account that nobody has used since the start of the pool's history.
pool_reserve startReserve(const share_pool &pool);

/// Brings a reserve up to now. Leased parts of rate and capacity are minted elsewhere.
void refillReserve(pool_reserve &reserve, share_pool &pool, const limit_settings &settings, const rate_limit &limit,
                   const rate_limit &leased, instant now);

/// The part of a limit that a number of shares carries.
rate_limit limitOfShares(const rate_limit &limit, const limit_settings &settings, std::uint32_t shares);

} // namespace guavafront
