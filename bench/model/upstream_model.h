#pragma once

#include <guavafront/coordination/quarantine/quarantine.h>
#include <guavafront/coordination/retries/retry.h>
#include <guavafront/coordination/upstreams/upstream_selection.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace guavafront::bench
{

/// Fault that begins at 20 s of virtual time.
enum class fault_kind : std::uint8_t {
    None, ///< No fault.
    Slow, ///< One instance takes ten times as long.
    IncompleteAnswers, ///< One instance cuts half of its answers.
    UnreachableFromDataCentre, ///< The VMs of one data centre cannot reach one instance.
    OneBadLink, ///< One VM cannot reach one instance.
    Flapping, ///< One instance answers with errors during 3 s of each 8 s.
    SilentConnections, ///< Idle connections to two instances stay open but carry nothing any more.
    WrongLoad, ///< One instance takes 2.5 times as long; reported loads are not modelled.
    ColdStart, ///< A third of the instances begin to serve anew and are slow for 10 s.
    CrashRequest, ///< A request that kills each instance that runs it arrives every 0.3 s.
    TwoSlow, ///< Two instances take ten times as long.
    AllErrors, ///< All instances answer 30 % of the requests with errors for 10 s.
};

/// Failure detector of the VMs.
enum class detection_kind : std::uint8_t {
    /// Five consecutive errors at a VM eject an instance there for 30 s times its ejections so far; a VM ejects at most
    /// 30 % of the instances.
    ConsecutiveErrors,
    Evidence, ///< The detector of coordination/health.
};

/// One run of the model.
struct model_options {
    fault_kind fault = fault_kind::None; ///< Fault of the run.
    detection_kind detection = detection_kind::Evidence; ///< Failure detector.
    balancing_policy policy = balancing_policy::ExpectedLatency; ///< How instances are chosen.
    std::uint32_t vmsPerDataCentre = 15; ///< Entry VMs in each of three data centres.
    std::uint32_t instances = 6; ///< Instances of the service.
    std::uint16_t slots = 4; ///< Slots of each instance.
    duration roundTrip = std::chrono::milliseconds(4); ///< Network round trip between data centres.
    double utilization = 0.5; ///< Share of all slots that are busy on average.
    double repeatableShare = 0.7; ///< Share of the requests that may run more than once.
    bool leaveSilentEarly = true; ///< A repeatable request on a reused connection times out early.
    std::uint64_t seed = 1; ///< Seed of all random numbers.
};

/// Result of one run.
struct model_result {
    double detectionSeconds = -1; ///< Time until half of the VMs that see the fault avoid the instance; -1 when never.
    /// Times that a VM began to avoid a healthy instance, by taking it out of rotation or lowering its weight.
    std::uint64_t falseEjections = 0;
    std::uint64_t requests = 0; ///< Requests that arrived after the fault began.
    std::uint64_t failed = 0; ///< Those of them without a good answer.
    double p50Ms = 0; ///< Median latency after the fault began, in milliseconds, failures included.
    double p99Ms = 0; ///< 99th percentile of the latency after the fault began, in milliseconds, failures included.
    double lowestCapacity = 1; ///< Lowest share of instances that a VM does not avoid, as a mean over all VMs.
    double lowestInRotationEverywhere = 1; ///< Lowest share of instances that no VM has out of rotation.
    double lowestUnavoidedEverywhere = 1; ///< Lowest share of instances that no VM avoids.
    std::uint64_t deaths = 0; ///< Instances killed by the crash request.
};

/// Runs the model for 60 s of virtual time.
model_result run(const model_options &options);

} // namespace guavafront::bench
