#include <guavafront/coordination/limits/share_holder.h>

#include <algorithm>

namespace guavafront
{

namespace
{

void delegate(held_share &share, const limit_settings &settings, vm_id owner, instant now)
{
    share = {.delegate = owner, .freeFrom = now + stretched(settings, settings.delegationLifetime)};
}

} // namespace

share_holder startShareHolder(const limit_settings &settings, instant now)
{
    share_holder holder;
    if (settings.fleetSize == 1) {
        holder.shares.assign(settings.slotCount, {.freeFrom = now}); // No other VM can have a predecessor's share.
        return holder;
    }
    holder.shares.assign(settings.slotCount, {.freeFrom = now + stretched(settings, settings.delegationLifetime)});
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
        if (share.delegate != owner && now < share.freeFrom) {
            share.claimant = owner;
            share.claimedRound = request.round;
            continue;
        }
        delegate(share, settings, owner, now);
        delegation.slots.push_back(slot);
    }
    return delegation;
}

std::vector<std::pair<vm_id, share_delegation>> dueDelegations(share_holder &holder, const limit_settings &settings,
                                                               std::span<const vm_id> preferredOwners, instant now)
{
    std::vector<std::pair<vm_id, share_delegation>> due;
    for (limit_slot slot = 0; slot < holder.shares.size(); ++slot) {
        held_share &share = holder.shares[slot];
        if (share.claimant == vm_id{} || now < share.freeFrom) {
            continue;
        }
        const vm_id claimant = share.claimant;
        const share_delegation delegation{.round = share.claimedRound, .slots = {slot}};
        share.claimant = {};
        if (preferredOwners[slot] != claimant) {
            continue;
        }
        delegate(share, settings, claimant, now);
        const auto same = std::ranges::find_if(
            due, [&](const auto &each) { return each.first == claimant && each.second.round == delegation.round; });
        if (same == due.end()) {
            due.emplace_back(claimant, delegation);
        } else {
            same->second.slots.push_back(slot);
        }
    }
    return due;
}

instant nextDelegation(const share_holder &holder)
{
    instant next = instant::max();
    for (const held_share &share : holder.shares) {
        if (share.claimant != vm_id{}) {
            next = std::min(next, share.freeFrom);
        }
    }
    return next;
}

} // namespace guavafront
