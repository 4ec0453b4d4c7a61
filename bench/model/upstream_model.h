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

/// What goes wrong at 20 s.
enum class fault_kind : std::uint8_t {
    None,
    Slow,
    IncompleteAnswers,
    UnreachableFromDataCentre,
    OneBadLink,
    Flapping,
    SilentConnections,
    WrongLoad,
    ColdStart,
    CrashRequest,
    TwoSlow,
    AllErrors,
};

/// How instances are judged.
enum class detection_kind : std::uint8_t {
    ConsecutiveErrors, ///< Five errors in a row at one VM eject for 30 s times the strikes, at most 30 % at each VM.
    Evidence, ///< The detector of coordination/health.
};

/// One run of the model.
struct model_options {
    fault_kind fault = fault_kind::None; ///< What goes wrong.
    detection_kind detection = detection_kind::Evidence; ///< How instances are judged.
    balancing_policy policy = balancing_policy::ExpectedLatency; ///< How they are chosen.
    std::uint32_t vmsPerDataCentre = 15; ///< Entry VMs in each of three data centres.
    std::uint32_t instances = 6; ///< Instances of the service.
    std::uint16_t slots = 4; ///< Of each instance.
    duration roundTrip = std::chrono::milliseconds(4); ///< There and back between data centres.
    double utilization = 0.5; ///< Share of all slots that is busy.
    double repeatableShare = 0.7; ///< Of the requests.
    bool leaveSilentEarly = true; ///< Repeatable requests leave a silent used connection early.
    std::uint64_t seed = 1; ///< Of all random numbers.
};

/// What one run showed.
struct model_result {
    double detectionSeconds = -1; ///< Until half of the concerned VMs avoided the instance; -1 when never.
    std::uint64_t falseEjections =
        0; ///< Times that a VM began to avoid a sound instance: out of rotation or few turns.
    std::uint64_t requests = 0; ///< After the fault began.
    std::uint64_t failed = 0; ///< Of these, without a good answer.
    double p50Ms = 0; ///< Latency that callers saw after the fault began, failures included.
    double p99Ms = 0; ///< Latency that callers saw after the fault began, failures included.
    double lowestCapacity = 1; ///< Lowest mean share of slots that are not avoided over all VMs.
    double lowestInRotationEverywhere = 1; ///< Lowest share of slots that no VM has out of rotation.
    double lowestUnavoidedEverywhere = 1; ///< Lowest share of slots that no VM avoids.
    std::uint64_t deaths = 0; ///< Instances killed by the crash request.
};

/// Runs 60 s of virtual time.
model_result run(const model_options &options);

} // namespace guavafront::bench
