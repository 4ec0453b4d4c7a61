#pragma once

#include <guavafront/coordination/limits/limit_settings.h>

#include <span>
#include <utility>
#include <vector>

namespace guavafront
{

/// Where this VM's own share of a slot's accounts is.
struct held_share {
    vm_id delegate; ///< Owner it was delegated to last.
    instant freeFrom{}; ///< From then on the VM mints its share itself.
    vm_id claimant; ///< Owner that asked for it meanwhile; 0 for none.
    std::uint64_t claimedRound = 0; ///< That owner's latest round.
};

/// A VM's own shares, one for each slot.
struct share_holder {
    std::vector<held_share> shares; ///< By slot.
};

/// Shares of a VM that starts now: a predecessor may have delegated them, so they are free only later.
share_holder startShareHolder(const limit_settings &settings, instant now);

/// Answers an owner's request; only slots whose preferred owner it is, and that no other owner holds, are in it. What
/// another owner still holds is noted for dueDelegations().
share_delegation delegateShares(share_holder &holder, const limit_settings &settings, vm_id owner,
                                const share_request &request, std::span<const vm_id> preferredOwners, instant now);

/// Delegations to owners that asked while another one held the shares, now that these are free.
std::vector<std::pair<vm_id, share_delegation>> dueDelegations(share_holder &holder, const limit_settings &settings,
                                                               std::span<const vm_id> preferredOwners, instant now);

/// When the next of them is due; instant::max() when none is.
instant nextDelegation(const share_holder &holder);

} // namespace guavafront
