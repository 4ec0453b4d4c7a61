#pragma once

#include <guavafront/coordination/limits/limit_settings.h>

#include <unordered_map>
#include <vector>

namespace guavafront
{

/// Tokens minted locally up to a capacity.
struct token_bucket {
    rate_limit limit; ///< Rate and capacity.
    double level = 0; ///< Tokens.
    instant refilledAt{}; ///< Level is that of this moment.
};

/// One account as an entry VM sees it.
struct leased_account {
    token_bucket lease; ///< Leased from the owner.
    std::uint64_t leaseSequence = 0; ///< Request whose grant is in force; 0 for none.
    vm_id leaseOwner; ///< Who granted it.
    instant leaseEnd{}; ///< Nothing of it may be used from then on.
    token_bucket ownShare; ///< The VM's own share, while it isn't delegated.
    std::uint64_t requestSequence = 0; ///< Latest request; only its grant is accepted.
    vm_id requestOwner; ///< Where it went.
    instant requestedAt{}; ///< When it went.
    bool awaitingGrant = false; ///< Its grant hasn't come.
    instant ownerEmptyUntil{}; ///< The owner had nothing; no use awaitingGrant before.
    instant tokenExpectedAt{}; ///< When the owner expected a token, while it is empty.
    std::uint32_t arrivals = 0; ///< Requests since demand was last measured.
    std::uint32_t waiting = 0; ///< Requests that wait for a token.
    double demand = 0; ///< Requests a second, smoothed.
    instant demandMeasuredAt{}; ///< When demand was last measured.
};

/// Entry's side of the limiter.
struct lessee {
    std::unordered_map<account_id, leased_account> accounts; ///< Accounts in use.
    std::uint64_t lastSequence = 0; ///< Of the latest request; starts at the time of the start in microseconds.
};

/// Brings a bucket up to now.
void refillBucket(token_bucket &bucket, const limit_settings &settings, instant now);

/// Brings both buckets of an account up to now. The own share is usable from `shareUsableFrom`.
void refillAccount(leased_account &account, const limit_settings &settings, const rate_limit &limit,
                   instant shareUsableFrom, instant now);

/// Measures the demand where a renewal period has passed, or at once where it surges.
void measureDemand(leased_account &account, const limit_settings &settings, instant now);

/// Capacity that the demand of two renewals fills, and the requests that wait.
double neededCapacity(const leased_account &account, const limit_settings &settings);

/// Takes a token where there is one.
bool takeToken(leased_account &account);

/// What to ask the owner for; gives up what the VM doesn't need and notes the request as sent.
lease_request_item prepareRequest(leased_account &account, account_id id, const limit_settings &settings, vm_id owner,
                                  std::uint64_t sequence, instant now);

/// Puts a grant in force unless it is late, crossed or repeated; tells whether it was.
bool acceptGrant(leased_account &account, const limit_settings &settings, vm_id owner, std::uint64_t sequence,
                 const lease_grant_item &grant, instant now);

} // namespace guavafront
