#pragma once

#include <guavafront/coordination/routing/candidate_set.h>

#include <cstdint>
#include <optional>
#include <span>

namespace guavafront
{

/// How an instance is chosen.
enum class balancing_policy : std::uint8_t {
    Random, ///< Any with a free slot.
    RoundRobin, ///< One after the other.
    TwoChoices, ///< The one with fewer requests outstanding of two drawn (Mitzenmacher, 2001).
    Affinity, ///< By this VM's own order of near instances, load and trouble that the fleet knows of; see affinity.h.
    ExpectedLatency, ///< The one with the lower expected latency of two drawn near and two drawn far.
};

/// Latency to expect of the next request, in microseconds: the average, doubled for each request over the slots.
float expectedLatencyUs(const candidate_set &set, const candidate &member);

/// What a request asks of the choice.
struct choice_request {
    std::span<const instance_id> tried; ///< Instances that it was tried at already; never chosen again.
    bool repeatable = false; ///< It may be tried at instances in doubt.
};

/// An instance with a free slot for this VM's next request; nothing when there is none. random is one draw of 64 bits.
std::optional<instance_id> chooseInstance(candidate_set &set, balancing_policy policy, const choice_request &request,
                                          std::uint64_t random);

} // namespace guavafront
