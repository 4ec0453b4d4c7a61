#pragma once

#include <guavafront/coordination/core/time.h>

#include <array>
#include <cstdint>
#include <string_view>

namespace guavafront::bench
{

/// What VMs know of the requests that others sent.
enum class load_source : std::uint8_t {
    OwnOnly, ///< Nothing; each VM knows its own requests and what instances told it.
    InstanceReports, ///< What instances told other VMs with their answers, by hubs each 0.2 s.
    FleetSums, ///< What all VMs sent, summed by hubs each 0.1 s.
};

/// A pattern of load on one service, replayed on virtual time.
struct placement_options {
    load_source loadSource = load_source::FleetSums; ///< How VMs learn of others' requests.
    std::array<std::uint32_t, 3> vms{16, 16, 12}; ///< Entry VMs in each data centre.
    std::array<std::uint32_t, 3> instances{6, 7, 6}; ///< Instances in each data centre.
    std::uint16_t slots = 4; ///< Requests that an instance runs at once.
    std::uint32_t queue = 16; ///< Requests that wait at an instance; more are refused.
    double requestsPerSecond = 75; ///< Requests of all callers.
    double burstFactor = 1; ///< Factor on perSecond between burstFrom and burstTo.
    duration burstFrom{}; ///< Start of the burst.
    duration burstTo{}; ///< End of the burst.
    duration meanServiceTime = std::chrono::milliseconds(330); ///< Mean time in a slot.
    double serviceTimeSigma = 0.5; ///< Of the logarithm of the time in a slot.
    duration oneWayDelay = std::chrono::microseconds(3'900); ///< One way between data centres.
    duration latencyTarget = std::chrono::milliseconds(1'200); ///< An answer later than this is late.
    duration length = std::chrono::seconds(30); ///< Of the run.
    std::uint64_t seed = 1; ///< Of all random numbers.
};

/// What callers saw.
struct placement_result {
    std::uint64_t requests = 0; ///< All.
    std::uint64_t inTime = 0; ///< Answered within the target.
    std::uint64_t late = 0; ///< Answered later.
    std::uint64_t refused = 0; ///< Refused by a full instance.
    double worstTwoSeconds = 1; ///< Least share answered in time of those that came within two seconds.
    double p99Ms = 0; ///< Latency of the answered ones.
    double farShare = 0; ///< Sent to another data centre.
};

/// Name of a way, for tables.
std::string_view nameOf(load_source loadSource);

/// Replays the load against the choice by affinity.
placement_result run(const placement_options &options);

} // namespace guavafront::bench
