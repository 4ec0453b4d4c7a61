#pragma once

#include <guavafront/coordination/avoidance/episode_lengths.h>
#include <guavafront/coordination/routing/candidate_set.h>
#include <guavafront/coordination/upstreams/recent_losses.h>

#include <cstdint>
#include <optional>
#include <span>

namespace guavafront
{

/// How an instance is chosen.
enum class balancing_policy : std::uint8_t {
    Random, ///< A random one with a free slot.
    RoundRobin, ///< The next one in order.
    TwoChoices, ///< The one with fewer outstanding requests of two random ones (Mitzenmacher, 2001).
    Affinity, ///< By this VM's order of preference, load and the fleet's avoidance; see affinity.h.
    ExpectedLatency, ///< The one with the lowest expected latency of two near and two far random ones.
};

/// Expected latency of the next request in microseconds: the average latency, plus once the average for each
/// request beyond the member's slots, the next one included.
float expectedLatencyUs(const candidate_set &set, const candidate &member);

/// What the choice of an instance depends on in a request.
struct choice_request {
    /// Instances that aren't chosen: those of the request's earlier attempts and those that want no request now.
    std::span<const instance_id> excluded;
    bool repeatable = false; ///< The request may run twice, so that instances in doubt may be chosen.
    bool retry = false; ///< An earlier attempt of the request failed.
    /// When the attempt fails, there is time for another one, and the retry budget allows it.
    bool mayBeRetried = true;
    bool retryBudgetSpent = false; ///< mayBeRetried is false only because the retry budget is spent for now.
    const episode_lengths *lengths = nullptr; ///< Lengths of the service's failure episodes; null when none are known.
    service_loss loss = service_loss::Small; ///< How much of the service's last requests at this VM wasn't served.
    duration work{}; ///< Expected service time of the request.
    /// Least share of the service's sound instances that are kept in use, 0 to 1; 0 while the use by other VMs isn't
    /// known.
    double floorShare = 0;
    bool byWork = false; ///< The service's routes differ in cost, so that instances are compared by outstanding work.
};

/// Chooses an instance with a free slot for this VM's next request; nothing when there is none. random is one draw of
/// 64 random bits. For balancing_policy::Affinity use chooseByAffinity().
std::optional<instance_id> chooseInstance(candidate_set &set, balancing_policy policy, const choice_request &request,
                                          std::uint64_t random);

} // namespace guavafront
