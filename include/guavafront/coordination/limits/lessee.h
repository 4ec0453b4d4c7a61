#pragma once

#include <guavafront/coordination/limits/limit_settings.h>

#include <unordered_map>
#include <vector>

namespace guavafront
{

/// Token bucket that a VM refills locally.
struct token_bucket {
    rate_limit limit; ///< Refill rate, and the capacity as burst.
    double level = 0; ///< Tokens at refilledAt.
    instant refilledAt{}; ///< When the level was last computed.
};

/// An entry VM's leases and demand of one account.
struct leased_account {
    token_bucket lease; ///< Tokens leased from the owner.
    std::uint64_t leaseSequence = 0; ///< Number of the request whose grant is in force; 0 if none is.
    vm_id leaseOwner; ///< VM that granted the lease.
    instant leaseEnd{}; ///< The lease must not be used from then on.
    token_bucket ownShare; ///< Tokens of the VM's own share; empty while the share is delegated.
    std::uint64_t requestSequence = 0; ///< Number of the latest lease request; only its grant is accepted.
    vm_id requestOwner; ///< VM to which the latest lease request was sent.
    instant requestedAt{}; ///< When the latest lease request was sent.
    bool awaitingGrant = false; ///< The latest lease request hasn't been answered.
    instant ownerEmptyUntil{}; ///< The owner had no token; it isn't asked again before then.
    instant tokenExpectedAt{}; ///< When the owner expects to have a token; valid until ownerEmptyUntil.
    std::uint32_t arrivals = 0; ///< Requests since the demand was last measured.
    std::uint32_t waiting = 0; ///< Requests that wait for a token.
    double demand = 0; ///< Smoothed requests per second.
    instant demandMeasuredAt{}; ///< When the demand was last measured.
};

/// The entry VM's side of the limiter: the leases that it uses.
struct lessee {
    std::unordered_map<account_id, leased_account> accounts; ///< Accounts in use.
    /// Number of the latest lease request; counted from the limiter's start time in microseconds.
    std::uint64_t lastSequence = 0;
};

/// Refills a bucket for the time until now, up to its capacity.
void refillBucket(token_bucket &bucket, const limit_settings &settings, instant now);

/// Refills both buckets of an account until now and empties a lease that has ended. The VM's own share is refilled only
/// from `shareUsableFrom` on.
void refillAccount(leased_account &account, const limit_settings &settings, const rate_limit &limit,
                   instant shareUsableFrom, instant now);

/// Updates the measured demand if a renewal period has passed, or at once if the demand surges.
void measureDemand(leased_account &account, const limit_settings &settings, instant now);

/// Returns the tokens needed for the demand of two renewal periods and for the waiting requests.
double neededCapacity(const leased_account &account, const limit_settings &settings);

/// Takes a token from the lease or else from the VM's own share; returns false if neither has one.
bool takeToken(leased_account &account);

/// Returns the item to request from the owner, after giving up what the VM doesn't need, and marks the request as sent.
lease_request_item prepareRequest(leased_account &account, account_id id, const limit_settings &settings, vm_id owner,
                                  std::uint64_t sequence, instant now);

/// Puts a grant in force and returns true; returns false if it is late, repeated or doesn't answer the latest request.
bool acceptGrant(leased_account &account, const limit_settings &settings, vm_id owner, std::uint64_t sequence,
                 const lease_grant_item &grant, instant now);

} // namespace guavafront
