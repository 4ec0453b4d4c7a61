#pragma once

#include <guavafront/coordination/avoidance/trials.h>
#include <guavafront/coordination/routing/balancer.h>
#include <guavafront/coordination/routing/candidate_set.h>
#include <guavafront/coordination/routing/instance_use.h>

#include <optional>

namespace guavafront
{

/// Costs that are added to an instance's expected delay, and limits of the choice.
struct affinity_parameters {
    /// Cost of an instance in another data centre: the round trip, and bytes over an expensive link.
    duration farCost = std::chrono::milliseconds(40);
    /// Cost of each rank in this VM's order of preference, so that connections are reused.
    duration rankCost = std::chrono::milliseconds(12);
    /// Cost of a new connection, which takes one of the instance's slots.
    duration connectCost = std::chrono::milliseconds(25);
    /// Time for which a reported load is used.
    duration loadValidity = std::chrono::seconds(2);
    use_limits use; ///< Times and thresholds that keep instances in use; floorShare comes from the request.
    trial_limits trials; ///< Times and thresholds of the trials of avoided instances.
};

/// The chosen instance.
struct affinity_choice {
    instance_id instance; ///< The instance.
    bool trial = false; ///< The request is a trial of an avoided instance; the other VMs must be told of its start.
    trial_reason reason = trial_reason::None; ///< Why it is a trial.
};

/// Time that the newest request at a member is expected to wait for a slot, by the member's estimated load.
duration expectedWait(const candidate_set &set, const candidate &member, const choice_request &request, instant now,
                      const affinity_parameters &parameters = {});

/// Chooses the instance with the least expected delay, for VMs that each send few requests to an instance. Every VM has
/// its own order of preference, near instances first, so that each VM uses few connections and all VMs together use
/// all instances. Load, latency and failures that any VM observed outweigh the order. An instance whose status is Trial
/// is chosen first where chooseTrial() does so. A retry is never a trial while an instance is open, and goes to one
/// that hasn't failed lately if there is one. Returns nothing when all members are excluded. The order of preference is
/// derived from self.
std::optional<affinity_choice> chooseByAffinity(const candidate_set &set, const avoidance &avoidedInstances, vm_id self,
                                                const choice_request &request, instant now,
                                                const affinity_parameters &parameters = {});

} // namespace guavafront
