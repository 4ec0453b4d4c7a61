#pragma once

#include <guavafront/coordination/avoidance/avoidance.h>
#include <guavafront/coordination/routing/balancer.h>
#include <guavafront/coordination/routing/candidate_set.h>

#include <optional>

namespace guavafront
{

/// Costs that the choice weighs against expected waiting.
struct affinity_parameters {
    duration farCost =
        std::chrono::milliseconds(40); ///< Of another data centre: its trip, and bytes over a costly link.
    duration rankCost =
        std::chrono::milliseconds(12); ///< Of each place down this VM's order, so that connections are reused.
    duration connectCost = std::chrono::milliseconds(25); ///< Of a new connection, which instances pay with a slot.
    duration unrepeatableTrialDelay =
        std::chrono::seconds(8); ///< A request that may not be repeated tries an avoided instance then.
    duration unrepeatableTrialDelayWhenScarce = std::chrono::seconds(4); ///< The same where capacity is short.
    double scarceOpenShare = 0.55; ///< Capacity is short with a smaller share of the slots open.
    duration loadValidity = std::chrono::seconds(2); ///< A reported load counts for so long.
};

/// What was chosen.
struct affinity_choice {
    instance_id instance; ///< The instance.
    bool trial = false; ///< The request shows whether it is sound again; the fleet is to be told.
};

/// How long the newest request at a member is likely to wait there for a slot, by the load known of it.
duration expectedWait(const candidate_set &set, const candidate &member, instant now,
                      const affinity_parameters &parameters = {});

/// Chooses the instance with the least expected delay for a VM that sends each instance little: instances have an order
/// of preference that differs from VM to VM, near ones first, so that few connections are kept in use and the VMs
/// together spread over all; known load and speed, and trouble that any VM saw, go before the order. An instance on
/// trial is taken for one request. Nothing when all were tried. now is the time; self seeds the order.
std::optional<affinity_choice> chooseByAffinity(const candidate_set &set, const avoidance &avoidedInstances, vm_id self,
                                                const choice_request &request, instant now,
                                                const affinity_parameters &parameters = {});

} // namespace guavafront
