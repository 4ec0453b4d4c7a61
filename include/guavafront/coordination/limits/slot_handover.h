#pragma once

#include <guavafront/coordination/limits/lease_owner.h>

namespace guavafront
{

/// Begins to give a slot up if the owner has shares of it: no lease that it grants from now on outlasts handoverPeriod.
void beginHandover(lease_owner &owner, const limit_settings &settings, limit_slot slot, instant now);

/// Keeps a slot that hasn't been released yet.
void cancelHandover(lease_owner &owner, limit_slot slot);

/// Returns when the next handover ends; instant::max() if no slot is being given up.
instant nextHandoverEnd(const lease_owner &owner);

/// Ends the handovers that are due and returns the release of their slots, which the caller sends to all members. From
/// then on the owner uses neither the shares nor its reserves of these slots.
share_release endHandovers(lease_owner &owner, const limit_settings &settings, instant now);

/// Ends all handovers, due or not, and those that haven't begun.
share_release releaseAllSlots(lease_owner &owner, const limit_settings &settings, instant now);

} // namespace guavafront
