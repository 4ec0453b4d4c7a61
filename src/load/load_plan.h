#pragma once

#include <guavafront/coordination/core/time.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace guavafront
{

/// Where an account's requests go.
enum class load_path : std::uint8_t {
    ThroughEntry, ///< To the entry VMs in turn.
    Direct, ///< Straight to upstreams, as the comparison for the time that an entry VM adds.
};

/// One client account of a load, with the rate that it sends at and the one that it is entitled to.
struct load_account {
    std::string name; ///< For the results.
    std::string key; ///< Sent in X-Api-Key; empty sends none.
    double ratePerSecond = 0; ///< Mean arrivals.
    double limitPerSecond = 0; ///< Rate it is entitled to; 0 when there is no limit.
    double limitBurst = 0; ///< Burst it is entitled to, in requests.
    load_path path = load_path::ThroughEntry; ///< Where its requests go.
};

/// One kind of request in the mix.
struct load_request {
    std::string method; ///< In capitals.
    std::string target; ///< Path with query.
    double weight = 1; ///< Share in the mix, relative to the others.
};

/// All that determines the arrivals of a load.
struct load_plan {
    std::vector<load_account> accounts; ///< At least one.
    std::vector<load_request> requests; ///< At least one.
    std::size_t entryTargetCount = 1; ///< Entry VMs.
    std::size_t directTargetCount = 0; ///< Upstreams.
    duration length{}; ///< Arrivals come for so long.
    std::uint64_t seed = 1; ///< The same seed gives the same arrivals.
};

/// One request at its time; indices point into the plan.
struct arrival {
    duration at{}; ///< From the start of the load.
    std::uint32_t account = 0; ///< Sender.
    std::uint32_t request = 0; ///< Kind.
    std::uint32_t target = 0; ///< Entry VM or upstream by the account's path.
    bool withinRate = true; ///< The account's own bucket held a token for it.

    /// Memberwise equality.
    bool operator==(const arrival &) const = default;
};

/// Arrivals in order of time: a Poisson process for each account, independent of answers (open loop).
std::vector<arrival> scheduleArrivals(const load_plan &plan);

} // namespace guavafront
