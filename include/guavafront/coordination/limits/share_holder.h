#pragma once

#include <guavafront/coordination/limits/limit_settings.h>

#include <span>
#include <vector>

namespace guavafront
{

/// Where this VM's own share of a slot's accounts is.
struct held_share {
    vm_id delegate; ///< Owner it was delegated to last.
    instant usableFrom{}; ///< From then on the VM mints its share itself.
};

/// A VM's own shares, one for each slot.
struct share_holder {
    std::vector<held_share> shares; ///< By slot.
};

/// Shares of a VM that starts now: a predecessor may have delegated them, so they are free only later.
share_holder startShareHolder(const limit_settings &settings, instant now);

/// Answers an owner's request; only slots whose preferred owner it is, and that no other owner holds, are in it.
share_delegation delegateShares(share_holder &holder, const limit_settings &settings, vm_id owner,
                                const share_request &request, std::span<const vm_id> preferredOwners, instant now);

} // namespace guavafront
