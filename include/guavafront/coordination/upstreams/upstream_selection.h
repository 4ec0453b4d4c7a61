#pragma once

#include <guavafront/coordination/evacuation/evacuation.h>
#include <guavafront/coordination/health/consent.h>
#include <guavafront/coordination/health/ejection.h>
#include <guavafront/coordination/health/service_health.h>
#include <guavafront/coordination/health/shared_evidence.h>
#include <guavafront/coordination/loads/fleet_loads.h>
#include <guavafront/coordination/loads/load_totals.h>
#include <guavafront/coordination/notices/instance_notices.h>
#include <guavafront/coordination/registry/registry.h>
#include <guavafront/coordination/retries/retry_share.h>
#include <guavafront/coordination/routing/affinity.h>
#include <guavafront/coordination/routing/balancer.h>
#include <guavafront/coordination/upstreams/recent_losses.h>
#include <guavafront/coordination/upstreams/service_instance_counts.h>
#include <guavafront/coordination/warmup/warmup.h>

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace guavafront
{

/// One VM's state of one service's instances.
struct upstream_service {
    candidate_set candidates; ///< Instances that the balancer chooses from.
    service_health health; ///< This VM's evidence about the instances.
    retry_budget retryBudget; ///< Tokens for retries.
    bool wholePartSaved = false; ///< retryBudget has been filled once; see maySaveWholePart().
    std::vector<instance_id> outOfRotation; ///< Ejected instances that this VM uses, ordered by id.
    std::vector<instance_id> reducedWeight; ///< Suspect instances in rotation with a low weight, ordered by id.
    std::vector<consent> consents; ///< This VM's consents; withdrawn ones stay while they still block their group.
    std::uint32_t floorPercent = 100; ///< Share of the capacity that ejection leaves in rotation, in percent.
    std::uint32_t totalSlots = 0; ///< Slots of all serving instances: the service's capacity.
    std::uint32_t largestSlots = 0; ///< Largest number of slots of one serving instance.
    episode_lengths episodes; ///< Lengths of the instances' last failure episodes.
    std::uint32_t evacuatedInstances = 0; ///< Instances left out only because their data centre is evacuated.
    recent_losses losses; ///< Ends of the service's last requests at this VM.
    service_instance_counts shownCounts; ///< Counts that were last shown to operators.
    warmup_counts warmups; ///< What concerned cold instances since it was last shown to operators.
    std::uint32_t shownCold = 0; ///< Number of cold instances that was last shown to operators.
    std::uint64_t registryGeneration = 0; ///< Generation of the registry's instance list that candidates reflects.
};

/// What a VM knows of the fleet's entry VMs.
struct fleet_summary {
    std::uint32_t vmsInDataCentre = 1; ///< Live entry VMs in this VM's data centre, itself included.
    std::uint32_t vms = 1; ///< All live entry VMs.
    std::uint32_t missingVms = 0; ///< Lost VMs that may still run, cut off from this one.
    /// This VM is in contact with most of the fleet. Otherwise other VMs' reports alone start no ejection here.
    bool seesMajority = true;
};

/// Floor of one service that differs from the fleet's default.
struct service_floor {
    std::string service; ///< Name of the service.
    std::uint32_t percent = 0; ///< Share of the service's capacity that ejection leaves in rotation, in percent.
};

/// Choice of upstream instances at one VM: balancing, failure detection and ejection over all services.
struct upstream_selection {
    vm_id self; ///< This VM.
    std::string dataCentre; ///< Data centre of this VM.
    balancing_policy policy = balancing_policy::ExpectedLatency; ///< How instances are chosen.
    avoidance avoidedInstances; ///< Instances that the fleet avoids; used by balancing_policy::Affinity.
    warmup warmups; ///< Cold instances; used by balancing_policy::Affinity.
    fleet_loads fleetLoads; ///< Loads of all instances by the hubs' sums.
    instance_notices notices; ///< What instances said of themselves in their answers.
    std::uint32_t floorPercent = 70; ///< Default share of a service's capacity that ejection leaves, in percent.
    std::vector<service_floor> floors; ///< Services with a floor other than floorPercent.
    fleet_summary fleet; ///< The entry VMs.
    fleet_sizes fleetSizes; ///< Numbers of entry VMs, lost ones included, of the last minutes.
    std::optional<instant> fleetKnownSince; ///< First followFleet() of this process.
    retry_rule retryRule; ///< Rule for the retries of all VMs together; a slack of 0 means none.
    std::vector<upstream_service> services; ///< State of each service, with the registry's indexes.
    shared_evidence evidence; ///< Health reports of all VMs, this one included.
    std::optional<instant> startedAt; ///< Start of this VM's process; set by the first updateRotation().
    /// Instances that lost a connection. The next request is sent there and shows whether they are alive.
    std::vector<instance_id> instancesToProbe;
    /// When an instance was last added to instancesToProbe; old entries are removed.
    std::unordered_map<instance_id, instant> probeRequestedAt;
    instant lastReportAt{}; ///< When this VM last published a health report.
};

/// Updates the candidates of every service whose instance list in the registry has changed.
void followRegistry(upstream_selection &selection, const registry &known);

/// Stops new requests to the instances of evacuated data centres, and lets them have requests again once the evacuation
/// is revoked. Returns the data centres that were closed or opened, ordered by name.
std::vector<std::string> followEvacuations(upstream_selection &selection, const registry &known,
                                           const std::vector<evacuation> &evacuations, instant now);

/// Stops new requests to an instance that said, to this VM or another one, that it leaves. Returns whether that is
/// news.
bool markLeaving(upstream_selection &selection, const registry &known, instance_id instance, instant now);

/// Chooses an instance for a request and counts the request as outstanding there until finishAttempt(). Returns nothing
/// when no instance has a free slot or the service is unknown. random is one draw of 64 random bits.
std::optional<instance_id> selectInstance(upstream_selection &selection, const registry &known,
                                          std::string_view service, const choice_request &request,
                                          std::uint64_t random);

/// Records a report of this VM or of another one about an instance, from which its service learns. Returns the same as
/// recordInstanceReport().
bool recordEvidence(upstream_selection &selection, const registry &known, const instance_report &report, instant now);

/// An instance chosen by balancing_policy::Affinity.
struct selected_instance {
    affinity_choice choice; ///< The instance, and whether the request is a trial.
    duration expectedWait{}; ///< Time that the request is expected to wait there for a slot.
    bool cold = false; ///< The instance is cold.
};

/// Does the same as selectInstance() for balancing_policy::Affinity, but doesn't require a free slot.
std::optional<selected_instance> selectByAffinity(upstream_selection &selection, const registry &known,
                                                  std::string_view service, const choice_request &request, instant now);

/// When a cold instance of the service may get a request from this VM; nothing when the service has no cold instance.
std::optional<instant> nextWarmupTurn(const upstream_selection &selection, const registry &known,
                                      std::string_view service, instant now);

/// Records loads that a hub reported for the fleet's VMs.
void applyReportedLoads(upstream_selection &selection, const registry &known, std::span<const instance_load> loads,
                        instant now);

/// Counts an instance that refused a request for lack of room as full for a short time.
void markFull(upstream_selection &selection, const registry &known, std::string_view service, instance_id instance,
              instant now);

/// Has the next request of the instance's service sent to the instance. When the instance is dead, the connection fails
/// at once, which proves it, and the request, which has not run, goes to another one. Does nothing when it was called
/// for the same instance within the last few seconds.
void scheduleProbe(upstream_selection &selection, instance_id instance, instant now);

/// Records how an attempt ended.
void finishAttempt(upstream_selection &selection, const registry &known, std::string_view service, const outcome &ended,
                   instant now);

/// Candidates of a service; null when it is unknown.
const candidate_set *findCandidates(const upstream_selection &selection, const registry &known,
                                    std::string_view service);

/// Number of the service's instances that are left out only because their data centre is evacuated.
std::uint32_t evacuatedInstancesOf(const upstream_selection &selection, const registry &known,
                                   std::string_view service);

/// Counts the end of a request of the service at this VM.
void recordRequestEnd(upstream_selection &selection, const registry &known, std::string_view service, bool served,
                      instant now);

/// Takes over what this VM knows of the fleet's entry VMs.
void followFleet(upstream_selection &selection, const fleet_summary &fleet, instant now);

/// Adds to a service's retry budget what a request earns with its first attempt. The percentage applies where the
/// deployment has no rule for retries.
void creditRetryBudget(upstream_selection &selection, const registry &known, std::string_view service,
                       std::uint32_t budgetPercent, instant now);

/// Retry budget of a service; null when it is unknown.
retry_budget *findRetryBudget(upstream_selection &selection, const registry &known, std::string_view service);

/// Advances the evidence to now, and updates consents, ejected instances and weights. To be called a few times a
/// second. Returns the health report to publish when it has changed and is due.
std::optional<health_report> updateRotation(upstream_selection &selection, const registry &known, instant now);

} // namespace guavafront
