#pragma once

#include <guavafront/coordination/limits/share_pool.h>

#include <unordered_map>
#include <vector>

namespace guavafront
{

/// One lease that the owner of an account granted to a VM.
struct granted_lease {
    std::uint64_t sequence = 0; ///< Number of the lease request that it answers; 0 if there is no lease.
    rate_limit granted; ///< Rate and capacity that the VM may use.
    double tokens = 0; ///< Tokens handed over with the grant.
    instant until{}; ///< The VM has certainly stopped using the lease by then, on the owner's clock.
};

/// The leases of one account that a VM may be using. A sent grant may be lost, so the owner counts both the lease that
/// the VM confirmed and the one sent after it.
struct lessee_record {
    std::uint64_t lastSequence = 0; ///< Number of the latest lease request; requests up to it are ignored.
    granted_lease held; ///< Confirmed by the VM.
    granted_lease offered; ///< Sent to the VM and not confirmed yet.
    double demand = 0; ///< Requests per second, as the VM reported.
};

/// The owner's state of one account's budget.
struct owned_account {
    pool_reserve reserve; ///< Tokens that aren't leased to any VM.
    std::unordered_map<vm_id, lessee_record> lessees; ///< The VMs that may hold a lease.
    rate_limit leased; ///< Sum over the lessees, each counted with the most it may be using.
    double demand = 0; ///< Sum over the lessees, in requests per second.
    instant prunedAt{}; ///< When ended leases were last removed.
};

/// One round in which the owner asks all VMs for their shares.
struct share_round {
    std::uint64_t round = 0; ///< Number of the round.
    instant startedAt{}; ///< When the requests were sent, on the owner's clock.
};

/// How far an owner has given a slot up.
struct slot_handover {
    instant endsAt = instant::max(); ///< All leases of the slot end by then; instant::max() while it isn't given up.
    /// Rounds that started earlier give the owner no shares: leases from shares that it released may last until then.
    instant leasesEnd{};
};

/// The owner's side of the limiter: collects the VMs' shares of the budgets and leases them out by demand.
struct lease_owner {
    std::vector<share_pool> pools; ///< Indexed by slot.
    std::vector<slot_handover> handovers; ///< Indexed by slot.
    std::vector<share_round> rounds; ///< The latest rounds, oldest first.
    std::uint64_t lastRound = 0; ///< Number of the latest round; counted from the limiter's start time in microseconds.
    std::unordered_map<account_id, owned_account> accounts; ///< Accounts in use.
};

/// Returns an owner that starts now, with empty pools.
lease_owner startOwner(const limit_settings &settings, instant now);

/// Starts a round and returns the request, which the caller sends to all members.
share_request startRound(lease_owner &owner, std::vector<limit_slot> slots, instant now);

/// Adds the shares that a VM delegated to the pools of their slots.
void acceptDelegation(lease_owner &owner, const limit_settings &settings, vm_id holder,
                      const share_delegation &delegation, instant now);

/// Answers a VM's request for leases. Accounts about which this owner can't decide are missing from the answer.
lease_grant grantLeases(lease_owner &owner, const limit_settings &settings, const limit_table &limits, vm_id lessee,
                        const lease_request &request, instant now);

/// Removes accounts that have no lessee and whose reserve is full.
void dropIdleAccounts(lease_owner &owner, const limit_settings &settings, const limit_table &limits, instant now);

} // namespace guavafront
