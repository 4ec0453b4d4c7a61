#pragma once

#include <guavafront/coordination/core/time.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace guavafront
{

/// Whether the requests of an account pass through an entry VM.
enum class load_path : std::uint8_t {
    ThroughEntry, ///< Each request goes to an entry VM drawn at random.
    Direct, ///< Requests go directly to upstreams, to measure the latency that an entry VM adds.
};

/// One client account of a load: the rate at which it sends, and the rate and burst that it is entitled to.
struct load_account {
    std::string name; ///< Name of the account in the results.
    std::string key; ///< Key sent in the X-Api-Key header; no header is sent when empty.
    double ratePerSecond = 0; ///< Mean rate of arrivals, in requests per second.
    double limitPerSecond = 0; ///< Rate the account is entitled to, in requests per second; 0 means no limit.
    double limitBurst = 0; ///< Burst the account is entitled to, in requests.
    load_path path = load_path::ThroughEntry; ///< Whether its requests pass through an entry VM.
};

/// One kind of request in the mix.
struct load_request {
    std::string method; ///< HTTP method in capitals.
    std::string target; ///< Path with query.
    double weight = 1; ///< Weight in the mix, relative to those of the other requests.
};

/// Everything that determines the arrivals of a load; equal plans give equal arrivals.
struct load_plan {
    std::vector<load_account> accounts; ///< Senders of the load; at least one.
    std::vector<load_request> requests; ///< Mix of requests, the same for all accounts; at least one.
    std::size_t entryTargetCount = 1; ///< Number of entry VMs that requests are spread over.
    std::size_t directTargetCount = 0; ///< Number of upstreams that direct requests are spread over.
    duration length{}; ///< Time during which requests arrive.
    std::uint64_t seed = 1; ///< Seed of the random arrivals.
};

/// One scheduled request of a load.
struct arrival {
    duration at{}; ///< Scheduled time, counted from the start of the load.
    std::uint32_t account = 0; ///< Index of the sender in load_plan::accounts.
    std::uint32_t request = 0; ///< Index in load_plan::requests.
    std::uint32_t target = 0; ///< Index of the entry VM, or of the upstream when the account's path is Direct.
    bool withinRate = true; ///< Whether the plan's token bucket for the account's limit had a token for it.

    /// Compares all members.
    bool operator==(const arrival &) const = default;
};

/// Schedules the arrivals of all accounts, ordered by time. Each account sends as a Poisson process that doesn't depend
/// on the answers (open loop).
std::vector<arrival> scheduleArrivals(const load_plan &plan);

} // namespace guavafront
