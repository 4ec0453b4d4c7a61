#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/limits/limit_messages.h>

#include <chrono>
#include <cstdint>
#include <unordered_map>

namespace guavafront
{

/// Refill rate and capacity of a token bucket: a whole account's over all VMs, or a part of it.
struct rate_limit {
    double ratePerSecond = 0; ///< Tokens per second.
    double burst = 0; ///< Capacity in tokens.
    bool operator==(const rate_limit &) const = default;
};

/// The accounts' limits in force.
struct limit_table {
    rate_limit defaults; ///< Limit of accounts without an exception.
    std::unordered_map<account_id, rate_limit> exceptions; ///< Limits of accounts that have their own.
};

/// Settings of the limiter; they are the same at every VM of the fleet.
struct limit_settings {
    bool fleetSizeKnown = true; ///< True: the limiter shares budgets by fleetSize. False: the ledger holds the budgets.
    /// Most VMs that ever run at once; each has 1 / fleetSize of every budget as its share.
    std::uint32_t fleetSize = 48;
    limit_slot slotCount = 8; ///< Number of account groups; each slot has one owner.
    duration roundPeriod = std::chrono::seconds(1); ///< Time between an owner's requests for shares.
    duration delegationLifetime = std::chrono::seconds(3); ///< After this time, a delegated share returns to its VM.
    /// Time between the requests of a VM that has just become the owner of a slot, during takeoverPeriod.
    duration takeoverRoundPeriod = std::chrono::milliseconds(100);
    duration takeoverPeriod = std::chrono::milliseconds(1'500); ///< Longer than a handover and the leases it leaves.
    /// Time in which an owner that gives a slot up lets its leases end before it releases the shares; shorter than the
    /// use of a share that was delegated in the previous round.
    duration handoverPeriod = std::chrono::milliseconds(900);
    duration renewPeriod = std::chrono::milliseconds(200); ///< Time between renewals of a lease.
    duration leaseLifetime = std::chrono::seconds(1); ///< A lease that isn't renewed ends after this time.
    /// Lifetime of a lease that only covers waiting requests.
    duration waitingLeaseLifetime = std::chrono::milliseconds(100);
    duration waitLimit = std::chrono::milliseconds(250); ///< Longest wait of a request for a token.
    /// An unanswered lease request may be repeated after this time.
    duration requestTimeout = std::chrono::milliseconds(50);
    /// Requests per second from which a VM is leased a rate; with less it gets only tokens.
    double minDemandForRate = 20;
    double clockDrift = 0.001; ///< Largest relative error of a VM's clock rate.
};

/// Returns the limit of an account.
const rate_limit &limitOf(const limit_table &table, account_id account);

/// Returns the slot of an account.
limit_slot slotOf(const limit_settings &settings, account_id account);

/// Returns `span` extended by the clock drift: when it has passed on one VM's clock, at least `span` has passed on
/// every other VM's clock.
duration extendedForDrift(const limit_settings &settings, duration span);

/// Returns the tokens that refill at `rate` per second during `span`, reduced by the clock drift so that a fast clock
/// doesn't refill more than the limit allows.
double refillTokens(const limit_settings &settings, double rate, duration span);

} // namespace guavafront
