#include <guavafront/coordination/limits/share_holder.h>

#include <algorithm>

namespace guavafront
{

share_holder startShareHolder(const limit_settings &settings, instant now)
{
    share_holder holder;
    if (settings.fleetSize == 1) {
        // There is no other VM to which a predecessor could have delegated a share.
        holder.shares.assign(settings.slotCount, {.usableFrom = now});
        return holder;
    }
    holder.shares.assign(settings.slotCount,
                         {.usableFrom = now + extendedForDrift(settings, settings.delegationLifetime)});
    return holder;
}

share_delegation delegateShares(share_holder &holder, const limit_settings &settings, vm_id owner,
                                const share_request &request, std::span<const vm_id> preferredOwners, instant now)
{
    share_delegation delegation{.round = request.round};
    for (const limit_slot slot : request.slots) {
        if (slot >= holder.shares.size() || preferredOwners[slot] != owner) {
            continue;
        }
        held_share &share = holder.shares[slot];
        if (share.delegate != owner && now < share.usableFrom) {
            continue;
        }
        share.delegate = owner;
        share.round = request.round;
        share.usableFrom = now + extendedForDrift(settings, settings.delegationLifetime);
        delegation.slots.push_back(slot);
    }
    return delegation;
}

void takeBackShares(share_holder &holder, vm_id owner, const share_release &release, instant now)
{
    for (const share_release_item &item : release.slots) {
        if (item.slot >= holder.shares.size()) {
            continue;
        }
        held_share &share = holder.shares[item.slot];
        if (share.delegate == owner && release.round >= share.round) {
            share.delegate = {};
            share.usableFrom = std::min(share.usableFrom, now + item.usableAfter);
        }
    }
}

} // namespace guavafront
