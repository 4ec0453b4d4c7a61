#pragma once

#include <guavafront/coordination/limits/lease_owner.h>
#include <guavafront/coordination/limits/lessee.h>
#include <guavafront/coordination/limits/share_holder.h>

#include <span>
#include <variant>
#include <vector>

namespace guavafront
{

/// A VM's part in holding every account to its rate and burst over the whole fleet.
struct limiter {
    vm_id self; ///< This incarnation.
    limit_settings settings; ///< Same on all VMs.
    limit_table limits; ///< From the configuration in force.
    std::vector<vm_id> members; ///< Live VMs as this one sees them, ordered.
    std::vector<vm_id> preferredOwners; ///< By slot, from the members.
    share_holder holder; ///< Own shares.
    lease_owner owner; ///< Budgets this VM serves.
    lessee leases; ///< Leases this VM uses.
    instant nextRound{}; ///< When the owner asks for shares again.
    instant nextRenewal{}; ///< When the leases are renewed.
};

/// The membership view changed.
struct limit_members_changed {
    std::vector<vm_id> members; ///< Live VMs, this one among them.
};

/// The configured limits changed.
struct limits_changed {
    limit_table limits; ///< The new ones.
};

/// A message came.
struct limit_message_received {
    vm_id from; ///< Authenticated sender.
    limit_message message; ///< Its content.
};

/// Time passed; due when nextTick() has come.
struct limit_tick {
};

/// The VM stops: leases go back, shares are no longer asked for.
struct limiter_stopping {
};

/// What can happen to a limiter.
using limit_event =
    std::variant<limit_members_changed, limits_changed, limit_message_received, limit_tick, limiter_stopping>;

/// Message to another VM. Losing it costs tokens, never the limit.
struct limit_send {
    vm_id to; ///< Receiver.
    limit_message message; ///< Content.
};

/// What a step wants done.
struct limit_effects {
    std::vector<limit_send> sends; ///< In order.
    std::vector<account_id> accountsToRetry; ///< Accounts whose waiting requests are to be tried again.
};

/// Verdict on one request.
enum class take_verdict : std::uint8_t {
    Granted, ///< A token was taken; the request counts.
    Wait, ///< A token may come: try again when the account is accountsToRetry or after recheckAfter, until waitLimit is
          ///< over.
    Refused, ///< Over the rate.
    Undecided, ///< No owner said in time whether the account is within its rate.
};

/// Verdict with the time after which another attempt is worth trying.
struct take_result {
    take_verdict verdict = take_verdict::Refused; ///< The verdict.
    duration retryAfter{}; ///< For callers, where none was granted.
    duration recheckAfter{}; ///< For requests that wait.
    bool operator==(const take_result &) const = default; ///< Memberwise equality.
};

/// Whether a request is tried for the first time.
enum class take_phase : std::uint8_t {
    First, ///< It has just come.
    Repeated, ///< It waited and the account was accountsToRetry.
    Last, ///< It has waited for the limit; it is granted or refused.
};

/// Limiter of a VM that starts now.
limiter startLimiter(vm_id self, const limit_settings &settings, const limit_table &limits, instant now);

/// Applies an event.
void step(limiter &state, const limit_event &event, instant now, limit_effects &effects);

/// When the next limit_tick is due.
instant nextTick(const limiter &state);

/// Asks for one token of an account. A request that is told to wait must be tried again or abandoned.
take_result tryTake(limiter &state, account_id account, take_phase phase, instant now, limit_effects &effects);

/// A request that was told to wait is gone without a further attempt.
void abandonWait(limiter &state, account_id account);

} // namespace guavafront
