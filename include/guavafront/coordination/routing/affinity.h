#pragma once

#include <guavafront/coordination/avoidance/avoidance.h>
#include <guavafront/coordination/routing/balancer.h>
#include <guavafront/coordination/routing/candidate_set.h>

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
    /// Least time since the last failure after which also a request that may not be repeated serves as a trial; see
    /// trialSpread.
    duration unrepeatableTrialDelay = std::chrono::milliseconds(7'500);
    /// The same while capacity is scarce.
    duration unrepeatableTrialDelayWhenScarce = std::chrono::milliseconds(3'500);
    /// The same while the loss of the service's requests is severe, or notable while open instances have less than
    /// scarceOpenShare. A lost trial adds little then, and each instance that is won back serves many requests.
    duration unrepeatableTrialDelayUnderLoss = std::chrono::milliseconds(1'500);
    /// VMs become ready to try an instance at times that differ by this at most, so that few of them try it before they
    /// have heard of the first trial.
    duration trialSpread = std::chrono::milliseconds(500);
    /// Capacity is scarce when open instances have less than this share of the slots, 0 to 1.
    double scarceOpenShare = 0.55;
    /// Time for which a reported load is used.
    duration loadValidity = std::chrono::seconds(2);
};

/// The chosen instance.
struct affinity_choice {
    instance_id instance; ///< The instance.
    bool trial = false; ///< The request is a trial of an avoided instance; the other VMs must be told of its start.
};

/// Time that the newest request at a member is expected to wait for a slot, by the member's estimated load.
duration expectedWait(const candidate_set &set, const candidate &member, instant now,
                      const affinity_parameters &parameters = {});

/// Chooses the instance with the least expected delay, for VMs that each send few requests to an instance. Every VM has
/// its own order of preference, near instances first, so that each VM uses few connections and all VMs together use
/// all instances. Load, latency and failures that any VM observed outweigh the order. An instance whose status is Trial
/// is chosen first, for one request. Returns nothing when all members are excluded. The order of preference
/// is derived from self.
std::optional<affinity_choice> chooseByAffinity(const candidate_set &set, const avoidance &avoidedInstances, vm_id self,
                                                const choice_request &request, instant now,
                                                const affinity_parameters &parameters = {});

} // namespace guavafront
