#pragma once

#include <guavafront/coordination/limits/limit_settings.h>

#include <span>
#include <vector>

namespace guavafront
{

/// Delegation of this VM's own share of the accounts in one slot.
struct held_share {
    vm_id delegate; ///< Owner to which the share was last delegated.
    instant usableFrom{}; ///< From then on the share is back and the VM uses it itself.
    std::uint64_t round = 0; ///< Round of the delegate in which the share was last delegated.
    std::vector<vm_id> resigned; ///< VMs that have released the slot and not asked for its shares again.
};

/// A VM's own shares of the budgets, one for each slot.
struct share_holder {
    std::vector<held_share> shares; ///< Indexed by slot.
};

/// Returns the shares of a VM that starts now. Its predecessor may have delegated them, so they are usable only after
/// delegationLifetime.
share_holder startShareHolder(const limit_settings &settings, instant now);

/// Answers an owner's request. The delegation covers the slots for which the VM sees `owner` as the preferred owner and
/// whose share isn't delegated to another owner.
share_delegation delegateShares(share_holder &holder, const limit_settings &settings, vm_id owner,
                                const share_request &request, std::span<const vm_id> preferredOwners, instant now);

/// Takes shares back that an owner releases before their delegation has run out. A release that was overtaken by a
/// later delegation to the same owner has no effect on it.
void takeBackShares(share_holder &holder, vm_id owner, const share_release &release, instant now);

} // namespace guavafront
