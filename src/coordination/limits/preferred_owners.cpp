#include "coordination/limits/preferred_owners.h"

#include <algorithm>
#include <array>
#include <utility>
#include <xxhash.h>

namespace guavafront
{

namespace
{

/// Returns the member with the highest hash for the slot (rendezvous hashing) that hasn't resigned; this VM if all
/// have.
vm_id preferredOwner(const limiter &state, limit_slot slot)
{
    const std::vector<vm_id> &resigned = state.holder.shares[slot].resigned;
    vm_id best;
    std::uint64_t highest = 0;
    for (const vm_id member : state.members) {
        if (std::ranges::find(resigned, member) != resigned.end()) {
            continue;
        }
        const std::array<std::uint64_t, 2> key{slot, member.value};
        const std::uint64_t hash = XXH64(key.data(), sizeof(key), 0);
        if (best == vm_id{} || hash > highest) {
            best = member;
            highest = hash;
        }
    }
    return best == vm_id{} ? state.self : best;
}

/// Chooses the owner of a slot anew. A VM that becomes it asks for the shares at once, one that ceases to be it gives
/// the slot up.
void choosePreferredOwner(limiter &state, limit_slot slot, instant now)
{
    const vm_id former = std::exchange(state.preferredOwners[slot], preferredOwner(state, slot));
    const bool owns = state.preferredOwners[slot] == state.self && !state.leaving;
    if (!owns) {
        beginHandover(state.owner, state.settings, slot, now);
        return;
    }
    cancelHandover(state.owner, slot);
    if (former != state.self) {
        state.takeoverEnd = now + state.settings.takeoverPeriod;
        state.nextRound = now;
    }
}

} // namespace

void changeMembers(limiter &state, std::span<const vm_id> members, instant now)
{
    state.members.assign(members.begin(), members.end());
    state.members.push_back(state.self);
    std::ranges::sort(state.members);
    state.members.erase(std::unique(state.members.begin(), state.members.end()), state.members.end());
    for (limit_slot slot = 0; slot < state.settings.slotCount; ++slot) {
        std::erase_if(state.holder.shares[slot].resigned,
                      [&state](vm_id vm) { return !std::ranges::binary_search(state.members, vm); });
        choosePreferredOwner(state, slot, now);
    }
}

void resign(limiter &state, vm_id owner, const share_release &release, instant now)
{
    if ((owner == state.self && !state.leaving) || !std::ranges::binary_search(state.members, owner)) {
        return; // This VM's own view may turn back to it.
    }
    for (const share_release_item &item : release.slots) {
        if (item.slot >= state.settings.slotCount) {
            continue;
        }
        std::vector<vm_id> &resigned = state.holder.shares[item.slot].resigned;
        if (std::ranges::find(resigned, owner) == resigned.end()) {
            resigned.push_back(owner);
        }
        choosePreferredOwner(state, item.slot, now);
    }
}

void withdrawResignation(limiter &state, vm_id owner, const share_request &request, instant now)
{
    for (const limit_slot slot : request.slots) {
        if (slot < state.settings.slotCount && std::erase(state.holder.shares[slot].resigned, owner) > 0) {
            choosePreferredOwner(state, slot, now);
        }
    }
}

} // namespace guavafront
