#include <guavafront/coordination/limits/slot_handover.h>

#include <algorithm>

namespace guavafront
{

namespace
{

/// Returns the end of the last lease of an account; `now` if there is none.
instant lastLeaseEnd(const owned_account &account, instant now)
{
    instant end = now;
    for (const auto &[lessee, record] : account.lessees) {
        end = std::max({end, record.held.until, record.offered.until});
    }
    return end;
}

share_release_item releaseSlot(lease_owner &owner, const limit_settings &settings, limit_slot slot, instant now)
{
    instant end = now;
    for (auto entry = owner.accounts.begin(); entry != owner.accounts.end();) {
        if (slotOf(settings, entry->first) != slot) {
            ++entry;
            continue;
        }
        end = std::max(end, lastLeaseEnd(entry->second, now));
        entry = owner.accounts.erase(entry);
    }
    // The pool's history goes too: a new reserve would be refilled from it with tokens that were leased before.
    owner.pools[slot] = startPool(now);
    owner.handovers[slot] = {.leasesEnd = end + duration(1)};
    return {.slot = slot, .usableAfter = extendedForDrift(settings, end - now)};
}

} // namespace

void beginHandover(lease_owner &owner, const limit_settings &settings, limit_slot slot, instant now)
{
    slot_handover &handover = owner.handovers[slot];
    if (handover.endsAt == instant::max() && usableShares(owner.pools[slot], now) > 0) {
        handover.endsAt = now + settings.handoverPeriod;
    }
}

void cancelHandover(lease_owner &owner, limit_slot slot)
{
    owner.handovers[slot].endsAt = instant::max();
}

instant nextHandoverEnd(const lease_owner &owner)
{
    return std::ranges::min(owner.handovers, {}, &slot_handover::endsAt).endsAt;
}

share_release endHandovers(lease_owner &owner, const limit_settings &settings, instant now)
{
    share_release release{.round = owner.lastRound};
    for (limit_slot slot = 0; slot < settings.slotCount; ++slot) {
        if (owner.handovers[slot].endsAt <= now) {
            release.slots.push_back(releaseSlot(owner, settings, slot, now));
        }
    }
    return release;
}

share_release releaseAllSlots(lease_owner &owner, const limit_settings &settings, instant now)
{
    share_release release{.round = owner.lastRound};
    for (limit_slot slot = 0; slot < settings.slotCount; ++slot) {
        if (!owner.pools[slot].shares.empty()) {
            release.slots.push_back(releaseSlot(owner, settings, slot, now));
        }
    }
    return release;
}

} // namespace guavafront
