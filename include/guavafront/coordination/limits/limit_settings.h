#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/limits/limit_messages.h>

#include <chrono>
#include <cstdint>
#include <unordered_map>

namespace guavafront
{

/// Rate and burst of an account over all VMs together.
struct rate_limit {
    double ratePerSecond = 0; ///< Tokens a second.
    double burst = 0; ///< Most tokens at once.
    bool operator==(const rate_limit &) const = default; ///< Memberwise equality.
};

/// The limits in force: the default, and the accounts that have their own.
struct limit_table {
    rate_limit defaults; ///< For accounts without an exception.
    std::unordered_map<account_id, rate_limit> exceptions; ///< By account.
};

/// Settings of the limiter; every VM of the fleet has the same.
struct limit_settings {
    bool fleetSizeKnown =
        true; ///< fleetSize is known and bounds each VM's part; otherwise the ledger holds the budgets.
    std::uint32_t fleetSize = 48; ///< Most VMs that ever run at once; each has 1/fleetSize of every budget.
    limit_slot slotCount = 8; ///< Parts of the accounts, each with one owner.
    duration roundPeriod = std::chrono::seconds(1); ///< Between an owner's requests for shares.
    duration delegationLifetime = std::chrono::seconds(3); ///< A share comes back to its VM after it.
    duration renewPeriod = std::chrono::milliseconds(200); ///< Between renewals of a lease.
    duration leaseLifetime = std::chrono::seconds(1); ///< A lease that isn't renewed ends.
    duration waitingLeaseLifetime = std::chrono::milliseconds(100); ///< Of a lease for requests that wait, and no more.
    duration waitLimit = std::chrono::milliseconds(250); ///< Longest wait of a request for a token.
    duration requestTimeout = std::chrono::milliseconds(50); ///< An unanswered lease request may be sent again.
    double minDemandForRate = 20; ///< Requests a second from which a VM gets a rate; below, it gets single tokens.
    double clockDrift = 0.001; ///< Bound on the relative error of any VM's clock rate.
};

/// The limit of an account.
const rate_limit &limitOf(const limit_table &table, account_id account);

/// The slot of an account.
limit_slot slotOf(const limit_settings &settings, account_id account);

/// A span no clock measures as shorter than `span` is on any other clock of the fleet.
duration extendedForDrift(const limit_settings &settings, duration span);

/// Tokens that a clock of the fleet may count at `rate` over `span` without exceeding the true ones.
double refillTokens(const limit_settings &settings, double rate, duration span);

} // namespace guavafront
