#pragma once

#include <guavafront/coordination/limits/share_pool.h>

#include <unordered_map>
#include <vector>

namespace guavafront
{

/// One grant as its owner remembers it.
struct granted_lease {
    std::uint64_t sequence = 0; ///< Request it answered; 0 for none.
    rate_limit granted; ///< Rate and capacity.
    double tokens = 0; ///< Tokens handed over with it.
    instant until{}; ///< The VM has stopped using it by then.
};

/// A VM's leases of one account: the one it surely had, and the one it may have by now.
struct lessee_record {
    std::uint64_t lastSequence = 0; ///< Latest request seen; earlier ones are dropped.
    granted_lease held; ///< Confirmed by the VM.
    granted_lease offered; ///< Sent, not confirmed.
    double demand = 0; ///< Requests a second, as the VM reported.
};

/// An account's budget at its owner.
struct owned_account {
    pool_reserve reserve; ///< Tokens not leased to any VM.
    std::unordered_map<vm_id, lessee_record> lessees; ///< By VM.
    rate_limit leased; ///< Sum over the lessees, each at the most it may hold.
    double demand = 0; ///< Sum over the lessees.
    instant prunedAt{}; ///< Last removal of ended leases.
};

/// Round of requests for shares.
struct share_round {
    std::uint64_t round = 0; ///< Its number.
    instant startedAt{}; ///< Sent on this VM's clock.
};

/// Owner's side of the limiter: pools the VMs' shares and leases them by demand.
struct lease_owner {
    std::vector<share_pool> pools; ///< By slot.
    std::vector<share_round> rounds; ///< Latest rounds, oldest first.
    std::uint64_t lastRound = 0; ///< Number of the latest round; starts at the time of the start in microseconds.
    std::unordered_map<account_id, owned_account> accounts; ///< Accounts in use.
};

/// Owner that starts now, with empty pools.
lease_owner startOwner(const limit_settings &settings, instant now);

/// Starts a round; the caller sends the request to all members.
share_request startRound(lease_owner &owner, std::vector<limit_slot> slots, instant now);

/// Takes a VM's shares into the pools.
void acceptDelegation(lease_owner &owner, const limit_settings &settings, vm_id holder,
                      const share_delegation &delegation, instant now);

/// Answers a VM's request for leases.
lease_grant grantLeases(lease_owner &owner, const limit_settings &settings, const limit_table &limits, vm_id lessee,
                        const lease_request &request, instant now);

/// Drops accounts that nobody uses and whose reserve is full.
void dropIdleAccounts(lease_owner &owner, const limit_settings &settings, const limit_table &limits, instant now);

} // namespace guavafront
