#pragma once

#include <guavafront/coordination/health/consent.h>
#include <guavafront/coordination/health/ejection.h>
#include <guavafront/coordination/health/service_health.h>
#include <guavafront/coordination/health/shared_evidence.h>
#include <guavafront/coordination/loads/load_totals.h>
#include <guavafront/coordination/registry/registry.h>
#include <guavafront/coordination/retries/retry_budget.h>
#include <guavafront/coordination/routing/affinity.h>
#include <guavafront/coordination/routing/balancer.h>
#include <guavafront/coordination/upstreams/service_instance_counts.h>

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace guavafront
{

/// What one VM knows of one service's instances.
struct upstream_service {
    candidate_set candidates; ///< For the balancer.
    service_health health; ///< This VM's evidence.
    retry_budget retryBudget; ///< Tokens for retries.
    std::vector<instance_id> outOfRotation; ///< Instances out of rotation here, in order.
    std::vector<instance_id> reducedWeight; ///< Suspect instances that stay in rotation here, in order.
    std::vector<consent> consents; ///< This VM's, also those that still bar their group.
    std::uint32_t floorPercent = 100; ///< Share of the capacity that ejection leaves.
    std::uint32_t totalSlots = 0; ///< Of all serving instances, the whole service's capacity.
    std::uint32_t largestSlots = 0; ///< Of one serving instance.
    service_instance_counts shownCounts; ///< As last told to operators.
    std::uint64_t registryGeneration = 0; ///< Of the registry's list that this follows.
};

/// What a VM knows of the fleet's other VMs.
struct fleet_summary {
    std::uint32_t vmsInDataCentre = 1; ///< Living VMs of this one's data centre, itself included.
    std::uint32_t vms = 1; ///< All living VMs.
    std::uint32_t missingVms = 0; ///< VMs that were lost and may still run, apart from this one's view.
    bool reachesMajority = true; ///< It hears most of the fleet; otherwise others' word alone changes nothing.
};

/// Floor of one service that departs from the fleet's.
struct service_floor {
    std::string service; ///< Name.
    std::uint32_t percent = 0; ///< Share of the service's capacity that ejection leaves.
};

/// Choice of upstream instances at one VM: balancing, detection and ejection over all services.
struct upstream_selection {
    vm_id self; ///< This VM.
    std::string dataCentre; ///< Of this VM.
    balancing_policy policy = balancing_policy::ExpectedLatency; ///< How instances are chosen.
    avoidance avoidedInstances; ///< Instances that the fleet avoids; for balancing_policy::Affinity.
    std::uint32_t floorPercent = 70; ///< Ejection leaves this share of a service's capacity.
    std::vector<service_floor> floors; ///< Services with another one.
    fleet_summary fleet; ///< Other VMs.
    std::vector<upstream_service> services; ///< Same indexes as in the registry.
    shared_evidence evidence; ///< Reports of all VMs, the own one included.
    std::optional<instant> startedAt; ///< When this life of the VM began; the first supervision sets it.
    std::vector<instance_id> instancesToProbe; ///< Lost a connection: the next request shows whether they are alive.
    std::unordered_map<instance_id, instant> probeRequestedAt; ///< When one was last put into instancesToProbe.
    instant lastReportAt{}; ///< When the own report last changed.
};

/// Follows the registry: members of every service whose list has changed.
void followRegistry(upstream_selection &selection, const registry &known);

/// An instance for a request, counted as outstanding there until finishAttempt(). Nothing when none has a free slot.
std::optional<instance_id> selectInstance(upstream_selection &selection, const registry &known,
                                          std::string_view service, const choice_request &request,
                                          std::uint64_t random);

/// An instance with balancing_policy::Affinity.
struct selected_instance {
    affinity_choice choice; ///< What was chosen.
    duration expectedWait{}; ///< How long the request is likely to wait there for a slot.
};

/// The same with balancing_policy::Affinity.
std::optional<selected_instance> selectByAffinity(upstream_selection &selection, const registry &known,
                                                  std::string_view service, const choice_request &request, instant now);

/// Takes loads that other VMs heard.
void applyReportedLoads(upstream_selection &selection, const registry &known, std::span<const instance_load> loads,
                        instant now);

/// An instance refused a request for want of room: it counts as full until its next report.
void markFull(upstream_selection &selection, const registry &known, std::string_view service, instance_id instance,
              instant now);

/// The next request of its service goes to the instance: when it is dead, the failed connection proves it at once and
/// the request, which has not run, goes elsewhere. At most once in a few seconds for an instance.
void scheduleProbe(upstream_selection &selection, instance_id instance, instant now);

/// A try has ended.
void finishAttempt(upstream_selection &selection, const registry &known, std::string_view service, const outcome &ended,
                   instant now);

/// Candidates of a service; null when it is unknown.
const candidate_set *findCandidates(const upstream_selection &selection, const registry &known,
                                    std::string_view service);

/// Tokens for retries of a service; null when it is unknown.
retry_budget *findRetryBudget(upstream_selection &selection, const registry &known, std::string_view service);

/// Moves health on and decides rotation anew; call a few times a second. The report to publish when it has changed.
std::optional<health_report> updateRotation(upstream_selection &selection, const registry &known, instant now);

} // namespace guavafront
