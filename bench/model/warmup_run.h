#pragma once

#include <guavafront/coordination/warmup/warmup.h>

#include <cstdint>
#include <string_view>

namespace guavafront::bench
{

/// How requests to cold instances are limited.
enum class warmup_way : std::uint8_t {
    None, ///< Not at all.
    FixedShare, ///< Each VM has an equal part of the limit of each instance, with a burst of one request.
    Hub, ///< A hub grants each request to a cold instance from one budget, half of the limit.
    Senders, ///< coordination/warmup: a few VMs for each instance.
};

/// Instances that become cold under load, and what is wrong with the VMs meanwhile; run on virtual time.
struct warmup_options {
    warmup_way way = warmup_way::Senders; ///< How requests are limited.
    std::uint32_t vms = 124; ///< Entry VMs, spread over the data centres.
    std::uint32_t instances = 262; ///< Instances, spread over the data centres and services.
    std::uint32_t services = 4; ///< Services, each with an equal part of the instances.
    double busiestShare = 0.4; ///< Share of the requests for the busiest service; the others have equal parts.
    std::uint32_t dataCentres = 3; ///< Data centres.
    double requestsPerSecond = 1'000; ///< Rate of all callers together.
    double coldShare = 1.0 / 3; ///< Share of the instances that become cold at once.
    bool wholeDataCentre = false; ///< The cold instances are those of one data centre.
    duration warmupTime = std::chrono::seconds(3); ///< For how long they are cold.
    duration longestNoticeDelay = std::chrono::milliseconds(50); ///< Latest time after which a VM knows of it.
    service_warmup limit{.warmupMs = 3'000, .perSecond = 5.8}; ///< Limit of each service; its name is unused.
    warmup_bounds bounds{.overshoot = 1.5, .slack = 8}; ///< By how much it may be exceeded.
    duration serviceTime = std::chrono::milliseconds(180); ///< Mean time of a request at a warm instance.
    double coldSlowness = 3; ///< Factor of it at a cold instance.
    std::uint32_t cutOff = 0; ///< VMs that reach no other VM, from 1 s before the instances become cold.
    bool cutOffDataCentre = false; ///< Data centre 0 is cut off from the others: VMs, but not instances.
    std::uint32_t restarted = 0; ///< VMs that start again 0.5 s after the instances have become cold.
    std::uint32_t lost = 0; ///< VMs that die as the instances become cold, which the others don't notice meanwhile.
    bool hubLost = false; ///< The hub dies as the instances become cold.
    double viewGaps = 0; ///< Share of the live VMs that each VM doesn't know of, different ones at each VM.
    std::uint64_t seed = 1; ///< Seed of all random numbers.
};

/// Result of a run.
struct warmup_result {
    std::uint32_t mostInSecond = 0; ///< Most requests that a cold instance got in any second.
    double perSecond = 0; ///< Requests that a cold instance got, a second, on average.
    double longestWait = 0; ///< Longest time in s until a cold instance's first request; warmupTime if it got none.
    std::uint32_t starved = 0; ///< Cold instances that got no request within 2 s.
    double refused = 0; ///< Share of the requests refused while instances are cold.
};

/// Name of a way, for tables.
std::string_view nameOf(warmup_way way);

/// Runs the load against VMs that choose instances by affinity.
warmup_result run(const warmup_options &options);

} // namespace guavafront::bench
