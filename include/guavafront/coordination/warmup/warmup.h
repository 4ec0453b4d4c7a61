#pragma once

#include <guavafront/coordination/configuration/configuration.h>
#include <guavafront/coordination/configuration/confirmations.h>
#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/registry/registry.h>
#include <guavafront/coordination/routing/candidate_set.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace guavafront
{

/// By how much a cold instance's rate limit may be exceeded; the same on all VMs.
struct warmup_bounds {
    double overshoot = 1; ///< Factor of the limit.
    double slack = 0; ///< Requests in a second that are allowed beyond limit times factor.
};

/// How the limit of a cold instance is divided among entry VMs. All senders together, each with its least time between
/// two requests, stay within half of the limit in any second, so that two disjoint groups of senders, as both sides of
/// a partition may choose, stay within the limit.
struct warmup_part {
    std::uint32_t senders = 0; ///< Number of entry VMs that may send requests to the instance.
    duration spacing{}; ///< Least time between two requests of one sender.
};

/// An instance is cold. Each VM derives the end by its own clock.
struct warmup_notice {
    instance_id instance; ///< The instance.
    duration left{}; ///< For how much longer the instance is cold.
    bool operator==(const warmup_notice &) const = default; ///< Memberwise equality.
};

/// What concerned the cold instances of a service at one VM, for operators.
struct warmup_counts {
    std::uint32_t cold = 0; ///< Cold instances at present.
    std::uint32_t sent = 0; ///< Requests sent to cold instances.
    std::uint32_t heldBack = 0; ///< Requests that some cold instance couldn't be chosen for.
    bool operator==(const warmup_counts &) const = default; ///< Memberwise equality.
};

/// When an instance is cold, by this VM's clock.
struct cold_period {
    instant since{}; ///< When this VM first knew it as cold.
    instant until{}; ///< When it is warm.
};

/// What one VM knows of cold instances and of the entry VMs that may send requests to them.
struct warmup {
    vm_id self; ///< This VM.
    warmup_bounds bounds; ///< Bounds of what a cold instance may get.
    std::vector<service_warmup> limits; ///< Services with a limit, ordered by name.
    /// Entry VMs among which the senders are chosen, this one included.
    std::vector<entry_vm> vms;
    bool seesMajority = true; ///< This VM is in contact with most of the fleet.
    std::optional<instant> startedAt; ///< Start of this VM; nothing before its first step.
    instant lastNewsAt{}; ///< When a control VM last told of loads, instances or warm-ups.
    std::unordered_map<instance_id, cold_period> cold; ///< Cold instances; may contain some that have become warm.
    /// When this VM last sent a request to an instance of a service with a limit.
    std::unordered_map<instance_id, instant> lastSentAt;
};

/// What a service's cold instances mean for one request.
struct warmup_decision {
    /// Cold instances that get no request from this VM now.
    std::vector<instance_id> heldBack;
    /// Instances that may be cold, since this VM has had no news. They are left out as long as there are others: first
    /// those that got a request from this VM a moment ago, then those to which it would be no sender.
    std::vector<instance_id> doubtful;
    std::size_t restingCount = 0; ///< Number of the former in doubtful.
    std::vector<instance_id> due; ///< Cold instances that wait for their first request from this VM, longest first.
};

/// Divides a limit of perSecond requests among the given number of entry VMs.
warmup_part divideWarmupLimit(double perSecond, const warmup_bounds &bounds, std::size_t vms);

/// Takes the limits from the configuration in force.
void applyWarmupLimits(warmup &state, const configuration &current);

/// Takes the entry VMs among which senders are chosen: the live ones on a VM that sees most of the fleet, else also
/// those that it has lost, which may go on sending on the other side of a partition.
void updateEntryVms(warmup &state, const entry_vm_view &view);

/// Limit of a service; null when it has none.
const service_warmup *findWarmupLimit(const warmup &state, std::string_view service);

/// Records for how much longer an instance is cold; 0 says that it is warm. Returns whether the instance was not cold
/// before and is now.
bool recordWarmup(warmup &state, const warmup_notice &notice, instant now);

/// Counts an instance as cold until the given time.
void markCold(warmup &state, instance_id instance, instant until, instant now);

/// Counts all instances of a data centre whose service has a limit as cold for the service's warm-up time.
void markDataCentreCold(warmup &state, const registry &known, std::string_view dataCentre, instant now);

/// Whether an instance is cold.
bool isCold(const warmup &state, instance_id instance, instant now);

/// The cold instances, ordered by id, for a VM that may lack them.
std::vector<warmup_notice> coldInstances(const warmup &state, instant now);

/// When this VM may next send a request to a cold instance in the given data centre: at once, after its spacing, or, if
/// it is no sender, when the instance is warm.
instant nextTurn(const warmup &state, const service_warmup &limit, instance_id instance, std::string_view dataCentre,
                 instant now);

/// Decides which of a service's members a request may be sent to.
warmup_decision decideWarmup(const warmup &state, const service_warmup &limit, std::span<const candidate> members,
                             const registry &known, instant now);

/// Records that this VM sends a request to an instance of a service with a limit.
void recordSent(warmup &state, instance_id instance, instant now);

/// Removes what no longer matters. To be called a few times a second.
void removeOldWarmups(warmup &state, instant now);

} // namespace guavafront
