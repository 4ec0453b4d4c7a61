#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>

#include <optional>
#include <span>

namespace guavafront
{

/// Times and thresholds that keep a service's instances in use.
struct use_limits {
    /// Least share of the sound instances that are to get a request within any `period`, 0 to 1.
    double floorShare = 0.7;
    /// Added to floorShare, since this VM sees a part of the instances and learns of the others' requests late.
    double margin = 0.1;
    duration period = std::chrono::seconds(2); ///< Time in which an instance is to get a request.
    /// Time after its last failure until an instance counts as sound, as far as the fleet can tell.
    duration soundAfter = std::chrono::seconds(2);
    /// Time without a request after which an instance gets the next one; with the spread well below the period.
    duration unusedAfter = std::chrono::milliseconds(1'100);
    /// VMs choose the same unused instance at times that differ by this at most, so that few do so before they have
    /// heard of the first request.
    duration spread = std::chrono::milliseconds(500);
};

/// An instance and what is known of its use.
struct instance_use {
    instance_id instance; ///< The instance.
    bool near = false; ///< Whether it is in this VM's data centre.
    bool open = true; ///< It isn't avoided.
    bool mayBeTried = false; ///< It is avoided, and a trial may be started now.
    instant lastUsedAt{}; ///< When it last got a request from any VM, as far as known.
    instant lastFailedAt{}; ///< When it last failed; the beginning of time if it hasn't lately.
};

/// Share of the sound instances that had a request within the period; 1 when none is sound.
double usedShare(std::span<const instance_use> instances, instant now, const use_limits &limits = {});

/// Chooses an instance that had no request for long, while too few of the sound instances are in use: the near one that
/// has been without one for the longest. An avoided instance is chosen only for a request that may be repeated. Nothing
/// when enough are in use or none is due at this VM.
std::optional<instance_use> chooseUnused(std::span<const instance_use> instances, bool repeatable, vm_id self,
                                         instant now, const use_limits &limits = {});

} // namespace guavafront
