#pragma once

#include <guavafront/coordination/limits/lease_owner.h>
#include <guavafront/coordination/limits/lessee.h>
#include <guavafront/coordination/limits/share_holder.h>
#include <guavafront/coordination/limits/slot_handover.h>

#include <span>
#include <variant>
#include <vector>

namespace guavafront
{

/// A VM's part in holding every account to its rate and burst over a fleet of known size. Each VM owns a fixed share of
/// every budget and delegates it to the account's owner, which leases the collected shares to the VMs by demand.
struct limiter {
    vm_id self; ///< This VM's id, new with each start.
    limit_settings settings; ///< The same at all VMs.
    limit_table limits; ///< Limits of the accounts, from the configuration in force.
    std::vector<vm_id> members; ///< Live VMs in this VM's view, in order of their ids.
    std::vector<vm_id> preferredOwners; ///< Indexed by slot; chosen from the members.
    share_holder holder; ///< This VM's own shares of the budgets.
    lease_owner owner; ///< Budgets of the accounts that this VM owns.
    lessee leases; ///< Leases that this VM uses.
    instant nextRound{}; ///< When this VM, as an owner, next asks for shares.
    instant nextRenewal{}; ///< When this VM next renews its leases.
    instant takeoverEnd{}; ///< Until then this VM asks for shares each takeoverRoundPeriod.
    bool leaving = false; ///< The VM stops soon: it gives up its slots and no longer asks for shares.
};

/// The membership view changed.
struct limit_members_changed {
    std::vector<vm_id> members; ///< Live VMs; this one is added if missing.
};

/// The configured limits changed.
struct limits_changed {
    limit_table limits; ///< The new limits.
};

/// A message arrived from another VM.
struct limit_message_received {
    vm_id from; ///< The authenticated sender.
    limit_message message; ///< The received message.
};

/// Periodic work is due: sent at the time that nextTick() returns.
struct limit_tick {
};

/// The VM stops soon but serves requests still: it gives up the slots that it owns.
struct limiter_leaving {
};

/// The VM stops: it returns its leases, gives up its slots at once and no longer asks for shares.
struct limiter_stopping {
};

/// Input event of a limiter.
using limit_event = std::variant<limit_members_changed, limits_changed, limit_message_received, limit_tick,
                                 limiter_leaving, limiter_stopping>;

/// Message to another VM. If it is lost, tokens may stay unused, but the limit is never exceeded.
struct limit_send {
    vm_id to; ///< The receiver.
    limit_message message; ///< The message to send.
};

/// What the caller of a step has to carry out.
struct limit_effects {
    std::vector<limit_send> sends; ///< Messages to send, in this order.
    std::vector<account_id> accountsToRetry; ///< Accounts whose waiting requests should be tried again.
};

/// Result of trying to take a token for a request.
enum class take_verdict : std::uint8_t {
    Granted, ///< A token was taken.
    Wait, ///< A token may come within waitLimit; try again when accountsToRetry has the account or after recheckAfter.
    Refused, ///< The account is over its rate.
    Undecided, ///< No owner answered in time whether the account is within its rate.
};

/// Result of trying to take a token, with the times after which another try makes sense.
struct take_result {
    take_verdict verdict = take_verdict::Refused;
    duration retryAfter{}; ///< Advice for the caller whose request was refused.
    duration recheckAfter{}; ///< Time after which a waiting request should be tried again.
    bool operator==(const take_result &) const = default;
};

/// Which of a request's tries to take a token this is.
enum class take_phase : std::uint8_t {
    First, ///< The request has just arrived.
    Repeated, ///< The request waits and is tried again before its wait ends.
    Last, ///< The request has waited for waitLimit; it must not be told to wait again.
};

/// Returns the limiter of a VM that starts now.
limiter startLimiter(vm_id self, const limit_settings &settings, const limit_table &limits, instant now);

/// Applies an event and appends what the caller has to carry out to `effects`.
void step(limiter &state, const limit_event &event, instant now, limit_effects &effects);

/// Returns when the next limit_tick is due.
instant nextTick(const limiter &state);

/// Tries to take one token of an account. After take_verdict::Wait the caller must try again or call abandonWait().
take_result tryTake(limiter &state, account_id account, take_phase phase, instant now, limit_effects &effects);

/// Removes a waiting request that will not be tried again.
void abandonWait(limiter &state, account_id account);

} // namespace guavafront
