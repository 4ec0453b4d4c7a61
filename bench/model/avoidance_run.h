#pragma once

#include <guavafront/coordination/core/time.h>

#include <array>
#include <cstdint>
#include <vector>

namespace guavafront::bench
{

/// A time in which some instances are in trouble.
struct gray_event {
    duration from{}; ///< Start.
    duration to{}; ///< End.
    double instanceShare = 0; ///< Of the instances.
    double failedShare = 0; ///< Share of the requests at them that they break off.
    double unansweredShare = 0; ///< Share of the requests at them that they run without an answer.
    double slowdown = 1; ///< Factor on the time that a request takes.
};

/// Entry VMs with affinity in front of one service whose instances go gray, replayed on virtual time.
struct avoidance_options {
    std::array<std::uint32_t, 4> vms{12, 10, 12, 10}; ///< Entry VMs in each data centre.
    std::array<std::uint32_t, 4> instances{12, 10, 10, 10}; ///< Instances in each data centre.
    std::uint16_t slots = 6; ///< Requests that an instance runs at once.
    std::uint32_t queue = 24; ///< Requests that wait at an instance; more are refused.
    double requestsPerSecond = 223; ///< Requests of all callers.
    double burstFactor = 1; ///< Factor on perSecond between burstFrom and burstTo.
    duration burstFrom{}; ///< Start of the burst.
    duration burstTo{}; ///< End of the burst.
    bool repeatable = false; ///< Requests may be tried again.
    duration meanServiceTime = std::chrono::milliseconds(350); ///< Mean time in a slot.
    duration callerTimeout = std::chrono::seconds(6); ///< How long a caller waits for its answer.
    double noiseShare = 0.3; ///< Of its time each instance is gray by itself.
    duration noiseLength = std::chrono::seconds(12); ///< Mean of such a spell.
    double noiseFailedShare = 0.75; ///< Share of the requests that fail in it.
    std::vector<gray_event> grayEvents; ///< Spells of other instances.
    duration length = std::chrono::seconds(28); ///< Of the run.
    std::uint64_t seed = 1; ///< Of all random numbers.
};

/// Two seconds of a run.
struct avoidance_window {
    duration from{}; ///< Start, since the start of the run.
    std::uint32_t healthy = 0; ///< Instances in no spell all the while.
    std::uint32_t used = 0; ///< Of these, those that got a request.
    std::uint32_t requests = 0; ///< That came in it.
    std::uint32_t unserved = 0; ///< Of these, those that got no answer of an instance.
};

/// What callers and instances saw.
struct avoidance_result {
    std::vector<avoidance_window> windows; ///< Each quarter of a second, from the second second on.
    std::uint64_t requests = 0; ///< All.
    std::uint64_t unserved = 0; ///< Without an answer of an instance.
    std::uint64_t reports = 0; ///< Reports that a VM told the fleet.
};

/// Share of the sound instances that got a request.
double usedShare(const avoidance_window &window);

/// The window with the least share used.
avoidance_window leastUsed(const avoidance_result &result);

/// The same of the windows in which more than a tenth of the requests, but under half, weren't served.
avoidance_window leastUsedUnderLoss(const avoidance_result &result);

/// Replays the run. An instance counts as sound 2 s after a spell by itself and 6 s after another one.
avoidance_result run(const avoidance_options &options);

} // namespace guavafront::bench
