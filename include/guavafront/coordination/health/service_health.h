#pragma once

#include <guavafront/coordination/health/outcome.h>
#include <guavafront/coordination/health/outcome_counts.h>
#include <guavafront/coordination/registry/registry.h>

#include <cstdint>
#include <span>
#include <vector>

namespace guavafront
{

/// Thresholds and times of the failure detector.
struct health_limits {
    float hintScore = 2; ///< Score from which a VM reports a hint, once the score has stayed there for hintDelay.
    float suspectScore = 6; ///< Score from which a VM reports a suspicion.
    duration hintDelay = std::chrono::milliseconds(500); ///< Keeps a single stray error from being reported.
    float holdScore = 9; ///< Score from which a VM holds the instance on its own evidence alone.
    float minGStatistic = 6.6F; ///< G statistic from which an instance fails more than its peers (1 % by chance).
    float faultyShare = 0.5F; ///< Share of bad outcomes at a faulty instance, for the likelihood ratio.
    float minBackgroundShare = 0.02F; ///< Share of bad outcomes that a healthy instance is granted in any case.
    float slowFactor = 3; ///< An answer this many times slower than the peers' is bad.
    duration slowMargin = std::chrono::milliseconds(20); ///< A slow answer is also later by this; exceeds a round trip.
    duration scoreHalfLife = std::chrono::seconds(15); ///< Time in which the score decays to a half.
    duration outcomeHalfLife = std::chrono::milliseconds(400); ///< Half-life of the outcomes behind backgroundShare.
    duration firstHold = std::chrono::seconds(5); ///< Length of the first hold; doubles with each strike.
    duration maxHold = std::chrono::minutes(5); ///< Longest hold.
    duration strikeLifetime = std::chrono::minutes(2); ///< Healthy time after which one strike is forgotten.
    duration returnRamp = std::chrono::seconds(10); ///< Length of probation, during which the weight rises gradually.
    duration coldStartRamp = std::chrono::seconds(15); ///< Ramp of an instance that has just begun to serve.
    float initialWeight = 0.1F; ///< Weight at the start of both ramps.
};

/// How strongly one VM suspects an instance. The values are added up over VMs and sent to peers.
enum class suspicion_level : std::uint8_t {
    None = 0, ///< No suspicion.
    Hint = 1, ///< One bad outcome that no good ones have outweighed.
    Suspect = 2, ///< Several bad outcomes.
    Held = 3, ///< The VM holds the instance out of rotation.
};

/// State of an instance by this VM's own evidence.
enum class local_health_state : std::uint8_t {
    Healthy, ///< In rotation.
    Held, ///< Out of rotation until the hold ends.
    Probation, ///< Back in rotation with a rising weight; one more bad outcome holds it again.
};

/// Evidence about one instance at this VM.
struct instance_health {
    instance_id instance; ///< The instance.
    float score = 0; ///< Cumulative log likelihood ratio of faulty against healthy (CUSUM; Page, 1954), 0 or more.
    outcome_counts countsSinceRise; ///< The instance's outcomes since its score last rose from 0: the start of a fault.
    outcome_counts serviceCountsAtRise; ///< The service's counts when the score last rose from 0.
    float recentGood = 0; ///< Good outcomes, decaying with health_limits::outcomeHalfLife.
    float recentBad = 0; ///< Bad outcomes, decaying with health_limits::outcomeHalfLife.
    float latencyUs = 0; ///< Moving average of the answers' latency in microseconds; 0 before the first answer.
    std::uint16_t strikes = 0; ///< Holds that are not forgotten yet.
    std::uint16_t reusedConnectionTimeouts = 0; ///< Timeouts on reused connections since the last other outcome.
    local_health_state state = local_health_state::Healthy; ///< Whether the instance is held.
    instant scoredAt{}; ///< When score was last updated.
    instant hintSince{}; ///< Since when score is at least hintScore; meaningless while it is lower.
    instant stateSince{}; ///< When state began.
    instant stateUntil{}; ///< End of a hold or probation. While Healthy: when the next strike is forgotten.
    instant servingSince{}; ///< Start of the cold-start ramp.
};

/// This VM's evidence about all instances of one service.
struct service_health {
    health_limits limits; ///< Limits of the detector.
    std::vector<instance_health> instances; ///< Ordered by instance id.
    outcome_counts counts; ///< Outcomes of all instances that weren't held at the time.
    float peerLatencyUs = 0; ///< Median of the instances' average latencies, in microseconds.
    float backgroundShare =
        0; ///< Current share of bad outcomes at the better instances, which is normal for the service.
    float peerScore = 0; ///< Median of the instances' scores. An instance is judged by how far it exceeds the median.
    instant advancedAt{}; ///< When advanceHealth() was last called.
};

/// Updates the instances from the registry: adds new ones, drops removed ones and keeps the evidence of the others.
void updateMembers(service_health &service, std::span<const registered_instance> instances);

/// Records the outcome of one attempt, which may begin a hold.
void recordOutcome(service_health &service, const outcome &ended, instant now);

/// Ends holds and probations, forgets strikes and recomputes the peers' latency, score and background share. To be
/// called a few times a second. When bad outcomes become more common in the whole service, earlier ones lose weight,
/// since they are no evidence against a single instance.
void advanceHealth(service_health &service, instant now);

/// Begins the probation of an instance that was out of rotation because of other VMs' evidence. Does nothing when this
/// VM holds the instance or it is on probation already.
void startProbation(service_health &service, instance_id instance, instant now);

/// Evidence about one instance; null when the instance is unknown.
const instance_health *findHealth(const service_health &service, instance_id instance);

/// Level at which this VM reports the instance to the other VMs.
suspicion_level suspicionLevelOf(const service_health &service, const instance_health &instance, instant now);

/// Weight of an instance by its cold-start and return ramps, from initialWeight to 1.
float rampWeight(const health_limits &limits, const instance_health &instance, instant now);

} // namespace guavafront
