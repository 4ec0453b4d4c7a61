#pragma once

#include <guavafront/coordination/health/outcome.h>
#include <guavafront/coordination/health/outcome_counts.h>
#include <guavafront/coordination/registry/registry.h>

#include <cstdint>
#include <span>
#include <vector>

namespace guavafront
{

/// Limits of the detector.
struct health_limits {
    float hintScore = 2; ///< From here on, when it lasts, a VM gives the others a hint.
    float suspectScore = 6; ///< From here on it reports a suspicion.
    duration hintDelay = std::chrono::milliseconds(500); ///< A hint must last so long; a stray error doesn't.
    float holdScore = 9; ///< From here on a VM acts on its own evidence alone.
    float minGStatistic = 6.6F; ///< G statistic from which an instance fails more than its peers (1 % by chance).
    float faultyShare = 0.5F; ///< Share of bad outcomes at a faulty instance, for the likelihood ratio.
    float minBackgroundShare = 0.02F; ///< Bad outcomes that a healthy instance is granted in any case.
    float slowFactor = 3; ///< An answer this many times slower than the peers' is bad.
    duration slowMargin = std::chrono::milliseconds(20); ///< It must be slower by this as well; more than a trip.
    duration scoreHalfLife = std::chrono::seconds(15); ///< Old evidence loses half its weight in it.
    duration outcomeHalfLife = std::chrono::milliseconds(400); ///< Of the outcomes that show what is usual.
    duration firstHold = std::chrono::seconds(5); ///< First time out of rotation; doubles with each strike.
    duration maxHold = std::chrono::minutes(5); ///< Bound of the doubling.
    duration strikeLifetime = std::chrono::minutes(2); ///< Healthy time after which one strike is forgotten.
    duration returnRamp = std::chrono::seconds(10); ///< Gradual return, and probation, after a hold.
    duration coldStartRamp = std::chrono::seconds(15); ///< Ramp of an instance that has just begun to serve.
    float initialWeight = 0.1F; ///< Where both ramps begin.
};

/// How strongly one VM suspects an instance; the numbers add up over VMs.
enum class suspicion_level : std::uint8_t {
    None = 0, ///< Not at all.
    Hint = 1, ///< One bad outcome that nothing has outweighed.
    Suspect = 2, ///< Several.
    Held = 3, ///< It holds the instance out of rotation.
};

/// Where an instance stands by this VM's own evidence.
enum class local_health_state : std::uint8_t {
    Healthy, ///< In rotation.
    Held, ///< Out of rotation until the hold ends.
    Probation, ///< Returning; one more bad outcome holds it again.
};

/// Evidence of one instance at this VM.
struct instance_health {
    instance_id instance; ///< The instance.
    float score = 0; ///< Cumulative log likelihood ratio of faulty against healthy (CUSUM; Page, 1954), 0 or more.
    outcome_counts
        countsSinceRise; ///< Its outcomes since the score last rose from 0, when the fault began if there is one.
    outcome_counts serviceCountsAtRise; ///< The service's counts at that time.
    float recentGood = 0; ///< Good ones lately.
    float recentBad = 0; ///< Bad ones lately.
    float latencyUs = 0; ///< Moving average of answers' latency; 0 before the first.
    std::uint16_t strikes = 0; ///< Holds not yet forgotten.
    std::uint16_t reusedConnectionTimeouts = 0; ///< Timeouts on used connections since the last answer.
    local_health_state state = local_health_state::Healthy; ///< Where it stands.
    instant scoredAt{}; ///< When score was last updated.
    instant hintSince{}; ///< Since when the score is at least hintScore; meaningless below.
    instant stateSince{}; ///< Begin of the standing.
    instant stateUntil{}; ///< End of a hold or probation; of a healthy one, when its next strike is forgotten.
    instant servingSince{}; ///< Begin of the cold-start ramp.
};

/// This VM's evidence of all instances of one service.
struct service_health {
    health_limits limits; ///< Limits of the detector.
    std::vector<instance_health> instances; ///< Ordered by instance id.
    outcome_counts counts; ///< Outcomes of all instances that weren't held at the time.
    float peerLatencyUs = 0; ///< Median of the instances' latency.
    float backgroundShare = 0; ///< Share of bad outcomes at the better instances; what is usual for the service now.
    float peerScore = 0; ///< Median of the instances' scores; only what stands out against it counts.
    instant advancedAt{}; ///< When advanceHealth() was last called.
};

/// Follows the registry: adds new instances, drops gone ones, keeps the evidence of the others.
void updateMembers(service_health &service, std::span<const registered_instance> instances);

/// Takes the evidence of one attempt; may begin a hold.
void recordOutcome(service_health &service, const outcome &ended, instant now);

/// Moves holds, probations and strikes on and takes anew what is usual at the peers; call a few times a second. When
/// bad outcomes become usual for the service, earlier ones lose weight: they say nothing of one instance.
void advanceHealth(service_health &service, instant now);

/// An instance that was out of rotation on the others' word comes back gradually.
void startProbation(service_health &service, instance_id instance, instant now);

/// Evidence of one instance; null when it isn't known.
const instance_health *findHealth(const service_health &service, instance_id instance);

/// How strong the evidence is, for the other VMs.
suspicion_level suspicionLevelOf(const service_health &service, const instance_health &instance, instant now);

/// Share of its turns that an instance takes by its cold-start and return ramps, above 0 to 1.
float rampWeight(const health_limits &limits, const instance_health &instance, instant now);

} // namespace guavafront
