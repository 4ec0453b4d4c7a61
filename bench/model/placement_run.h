#pragma once

#include <guavafront/coordination/core/time.h>

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

namespace guavafront::bench
{

/// Where a VM learns how busy instances are with requests of other VMs.
enum class load_source : std::uint8_t {
    OwnOnly, ///< Only its own requests and the loads that instances report with their answers to it.
    InstanceReports, ///< Also loads that instances report with answers to other VMs, sent by hubs each 0.2 s.
    FleetSums, ///< Also the outstanding requests of all VMs, summed and sent by hubs each 0.1 s.
};

/// Requests of one route.
struct placement_kind {
    double share = 1; ///< Share of all requests.
    duration meanServiceTime{}; ///< Mean time in a slot.
    double sigma = 0.5; ///< Standard deviation of the logarithm of the time in a slot.
    duration latencyTarget{}; ///< An answer later than this is late.
};

/// A pattern of load on one service, run on virtual time.
struct placement_options {
    load_source loadSource = load_source::FleetSums; ///< How VMs learn of other VMs' requests.
    std::array<std::uint32_t, 3> vms{16, 16, 12}; ///< Entry VMs in each data centre.
    std::array<std::uint32_t, 3> instances{6, 7, 6}; ///< Instances in each data centre.
    std::uint16_t slots = 4; ///< Requests that an instance runs concurrently.
    std::uint32_t queue = 16; ///< Requests that wait at an instance; more are refused.
    double requestsPerSecond = 75; ///< Rate of all callers together.
    double burstFactor = 1; ///< Factor on requestsPerSecond between burstFrom and burstTo.
    duration burstFrom{}; ///< Start of the burst, since the start of the run.
    duration burstTo{}; ///< End of the burst, since the start of the run.
    duration meanServiceTime = std::chrono::milliseconds(330); ///< Mean time that a request takes in a slot.
    double serviceTimeSigma = 0.5; ///< Standard deviation of the logarithm of the time in a slot.
    duration oneWayDelay = std::chrono::microseconds(3'900); ///< Network delay between data centres.
    duration latencyTarget = std::chrono::milliseconds(1'200); ///< An answer later than this is late.
    /// Kinds of requests in place of meanServiceTime, serviceTimeSigma and latencyTarget; empty for one kind.
    std::vector<placement_kind> kinds;
    bool byWork =
        true; ///< Requests are placed by their expected work where the kinds differ, not by a typical latency.
    bool sharesEstimates = true; ///< VMs learn from the requests of all VMs, not only from their own.
    duration sumsDelay{}; ///< Delay of the hubs' sums beyond the usual.
    duration hubsDieAt = duration::max(); ///< Since the start of the run; hubs send nothing from then on.
    duration restartAt = duration::max(); ///< Since the start of the run; a third of the VMs forget what they learned.
    std::uint32_t slowInstances = 0; ///< Instances that are slow from slowFrom on until slowTo.
    double slowFactor = 5; ///< Factor on the service times of slow instances.
    duration slowFrom{}; ///< Since the start of the run.
    duration slowTo = duration::max(); ///< Since the start of the run.
    duration costChangeAt = duration::max(); ///< Since the start of the run; from then on the first kind costs more.
    double costFactor = 5; ///< Factor on the first kind's service times after costChangeAt.
    double swing = 0; ///< Part by which the demand of each data centre rises and falls, one after the other.
    duration swingPeriod = std::chrono::seconds(13); ///< Period of the swing.
    duration length = std::chrono::seconds(30); ///< Time during which requests arrive.
    std::uint64_t seed = 1; ///< Seed of all random numbers.
};

/// Result of a run, as callers see it.
struct placement_result {
    std::uint64_t requests = 0; ///< All requests.
    std::uint64_t inTime = 0; ///< Requests answered within latencyTarget.
    std::uint64_t late = 0; ///< Requests answered later than that.
    std::uint64_t refused = 0; ///< Requests refused by a full instance.
    double worstTwoSeconds = 1; ///< Smallest share answered in time of the requests of any two seconds.
    double p99Ms = 0; ///< 99th percentile of the answers' latency, in milliseconds.
    double farShare = 0; ///< Share of the requests sent to another data centre.
    std::vector<std::uint64_t> requestsByKind; ///< All requests, by kind.
    std::vector<std::uint64_t> inTimeByKind; ///< Requests answered within their target, by kind.
    double slowShareLate =
        0; ///< Share of the requests that went to slow instances in the second half of their slowness.
    double fromSlowShare = 0; ///< The same from 10 s after the end of the slowness on.
};

/// Name of a load source, for tables.
std::string_view nameOf(load_source loadSource);

/// Runs the load against VMs that choose instances by affinity.
placement_result run(const placement_options &options);

} // namespace guavafront::bench
