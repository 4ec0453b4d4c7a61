#include <guavafront/coordination/health/service_health.h>

#include <algorithm>
#include <cmath>

namespace guavafront
{

namespace
{

constexpr float latencyAverageWeight = 0.1F; ///< Weight of the newest answer in the moving average.
constexpr float maxBackgroundFraction = 0.95F; ///< Bound of backgroundShare as a part of faultyShare, so that
                                               ///< a bad outcome always raises the score.
constexpr float baselineInstanceShare = 0.7F; ///< Part of the instances, the best ones, behind backgroundShare.
constexpr float minConnectBackgroundShare = 0.01F; ///< Less than minBackgroundShare: failed connections are rare.
constexpr std::uint16_t maxReusedConnectionTimeouts = 2; ///< Timeouts on reused connections that can count as bad.

std::uint64_t orderOf(const instance_health &instance)
{
    return instance.instance.value;
}

instance_health *find(service_health &service, instance_id instance)
{
    return const_cast<instance_health *>(findHealth(service, instance));
}

float seconds(duration span)
{
    return std::chrono::duration<float>(span).count();
}

float decayedScore(const health_limits &limits, const instance_health &instance, instant now)
{
    const float halfLives = seconds(now - instance.scoredAt) / seconds(limits.scoreHalfLife);
    return instance.score * std::exp2(-halfLives);
}

bool isColdStart(const health_limits &limits, const instance_health &instance, instant now)
{
    return now < instance.servingSince + limits.coldStartRamp;
}

/// Whether an answer took much longer than the peers' answers do. An instance in its cold start is slow without being
/// faulty.
bool isSlow(const service_health &service, const instance_health &instance, duration latency, instant now)
{
    if (service.peerLatencyUs <= 0 || isColdStart(service.limits, instance, now)) {
        return false;
    }
    const auto latencyUs = static_cast<float>(latency.count());
    const auto marginUs = static_cast<float>(service.limits.slowMargin.count());
    return latencyUs > service.peerLatencyUs * service.limits.slowFactor
           && latencyUs > service.peerLatencyUs + marginUs;
}

bool isNoEvidence(const outcome &ended)
{
    return ended.kind == outcome_kind::Cancelled || ended.kind == outcome_kind::Shed || ended.suspectRequest;
}

bool isBad(const service_health &service, const instance_health &instance, const outcome &ended, instant now)
{
    return ended.kind != outcome_kind::Answered || isSlow(service, instance, ended.latency, now);
}

/// Log likelihood ratio, faulty against healthy, of a bad outcome when backgroundShare of the outcomes are bad at a
/// healthy instance.
float badLogLikelihoodRatio(const health_limits &limits, float backgroundShare, float minShare)
{
    return std::log(limits.faultyShare
                    / std::clamp(backgroundShare, minShare, maxBackgroundFraction * limits.faultyShare));
}

/// Log likelihood ratio that one outcome adds to the score.
float logLikelihoodRatio(const service_health &service, const outcome &ended, bool bad)
{
    const health_limits &limits = service.limits;
    if (bad) {
        const bool connect = ended.kind == outcome_kind::ConnectFailed;
        const float minShare = connect ? minConnectBackgroundShare : limits.minBackgroundShare;
        return badLogLikelihoodRatio(limits, service.backgroundShare, minShare);
    }
    const float background = std::clamp(service.backgroundShare, limits.minBackgroundShare, limits.faultyShare);
    return std::log((1 - limits.faultyShare) / (1 - background));
}

duration holdDuration(const health_limits &limits, std::uint16_t strikes)
{
    constexpr int maxDoublings = 16;
    const int doublings = std::min<int>(strikes, maxDoublings);
    return std::min(limits.firstHold * (1 << doublings), limits.maxHold);
}

void beginHold(const health_limits &limits, instance_health &instance, instant now)
{
    instance.state = local_health_state::Held;
    instance.stateSince = now;
    instance.stateUntil = now + holdDuration(limits, instance.strikes);
    ++instance.strikes;
    instance.score = limits.holdScore;
    instance.scoredAt = now;
}

/// Whether an instance has failed more than its peers since its score rose from 0. A fault that all instances share
/// singles out none of them, however high their scores. An instance on probation has just failed and needs a smaller
/// difference. Without outcomes of peers there is nothing to compare with, and the score alone decides.
bool failsMoreThanPeers(const service_health &service, const instance_health &instance)
{
    constexpr float probationFactor = 0.5F;
    const bool returning = instance.state == local_health_state::Probation;
    const float needed = service.limits.minGStatistic * (returning ? probationFactor : 1.0F);
    const outcome_counts peers = service.counts - instance.serviceCountsAtRise - instance.countsSinceRise;
    return (peers.good == 0 && peers.bad == 0) || gStatistic(instance.countsSinceRise, peers) >= needed;
}

/// Restarts the counts that failsMoreThanPeers() compares, when the score rises from 0 or the instance returns.
void beginRise(const service_health &service, instance_health &instance)
{
    instance.countsSinceRise = {};
    instance.serviceCountsAtRise = service.counts;
}

void countOutcome(service_health &service, instance_health &instance, bool bad, int weight)
{
    if (instance.score <= 0) {
        beginRise(service, instance);
    }
    if (instance.state == local_health_state::Held) {
        return;
    }
    const auto more = static_cast<std::uint32_t>(weight);
    (bad ? instance.countsSinceRise.bad : instance.countsSinceRise.good) += more;
    (bad ? service.counts.bad : service.counts.good) += more;
}

void addEvidence(service_health &service, instance_health &instance, float ratio, instant now)
{
    const bool wasHint = decayedScore(service.limits, instance, now) >= service.limits.hintScore;
    instance.score = std::max(0.0F, decayedScore(service.limits, instance, now) + ratio);
    instance.scoredAt = now;
    instance.hintSince = wasHint ? instance.hintSince : now;
    const bool enough = instance.score - service.peerScore >= service.limits.holdScore;
    if (enough && instance.state != local_health_state::Held && failsMoreThanPeers(service, instance)) {
        beginHold(service.limits, instance, now);
    }
}

/// Counts a timeout on a reused connection and returns whether the outcome was one. Only the connection may be broken;
/// such timeouts become evidence against the instance when a new connection fails as well.
bool countReusedConnectionTimeout(instance_health &instance, const outcome &ended)
{
    if (ended.kind == outcome_kind::TimedOut && ended.reusedConnection) {
        instance.reusedConnectionTimeouts =
            std::min<std::uint16_t>(instance.reusedConnectionTimeouts + 1, maxReusedConnectionTimeouts);
        return true;
    }
    return false;
}

/// Begins probation with a score that one more bad outcome raises to holdScore.
void beginProbation(const service_health &service, instance_health &instance, instant now)
{
    constexpr float scoreOfOneBadOutcome = 3;
    const health_limits &limits = service.limits;
    beginRise(service, instance);
    instance.state = local_health_state::Probation;
    instance.stateSince = now;
    instance.stateUntil = now + limits.returnRamp;
    instance.score = limits.holdScore - scoreOfOneBadOutcome;
    instance.scoredAt = now;
    instance.recentGood = 0;
    instance.recentBad = 0;
    instance.latencyUs = 0;
}

void advanceState(const service_health &service, instance_health &instance, instant now)
{
    const health_limits &limits = service.limits;
    if (now < instance.stateUntil) {
        return;
    }
    if (instance.state == local_health_state::Held) {
        beginProbation(service, instance, now);
        return;
    }
    if (instance.state == local_health_state::Probation) {
        instance.state = local_health_state::Healthy;
        instance.stateSince = now;
        instance.stateUntil = now + limits.strikeLifetime;
        return;
    }
    if (instance.strikes > 0) {
        --instance.strikes;
        instance.stateUntil = now + limits.strikeLifetime;
    }
}

/// Lower median, so that a service of two instances is compared with the better one; 0 without values.
float lowerMedian(std::vector<float> &values)
{
    if (values.empty()) {
        return 0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::ranges::nth_element(values, middle);
    return *middle;
}

float medianLatency(const service_health &service)
{
    std::vector<float> latencies;
    for (const instance_health &instance : service.instances) {
        if (instance.latencyUs > 0) {
            latencies.push_back(instance.latencyUs);
        }
    }
    return lowerMedian(latencies);
}

/// Whether the instance was used recently and isn't held, so that it shows how the service behaves normally.
bool isRecentlyUsed(const instance_health &instance)
{
    return instance.state != local_health_state::Held && instance.recentGood + instance.recentBad >= 1;
}

float medianScore(const service_health &service, instant now)
{
    std::vector<float> scores;
    for (const instance_health &instance : service.instances) {
        if (isRecentlyUsed(instance)) {
            scores.push_back(decayedScore(service.limits, instance, now));
        }
    }
    return lowerMedian(scores);
}

float badShare(float bad, float good)
{
    return bad + good > 0 ? bad / (bad + good) : 0;
}

/// Share of bad outcomes at the better instances, taken together.
float currentBackgroundShare(const service_health &service)
{
    std::vector<const instance_health *> ordered;
    for (const instance_health &instance : service.instances) {
        if (isRecentlyUsed(instance)) {
            ordered.push_back(&instance);
        }
    }
    std::ranges::sort(ordered, {},
                      [](const instance_health *each) { return badShare(each->recentBad, each->recentGood); });
    ordered.resize(static_cast<std::size_t>(static_cast<float>(ordered.size()) * baselineInstanceShare));
    float bad = 0;
    float good = 0;
    for (const instance_health *each : ordered) {
        bad += each->recentBad;
        good += each->recentGood;
    }
    return badShare(bad, good);
}

/// Recomputes backgroundShare. When it has risen, scores are reduced to what their bad outcomes weigh by the new share.
void updateBackgroundShare(service_health &service)
{
    const float minShare = service.limits.minBackgroundShare;
    const float before = badLogLikelihoodRatio(service.limits, service.backgroundShare, minShare);
    service.backgroundShare = currentBackgroundShare(service);
    const float after = badLogLikelihoodRatio(service.limits, service.backgroundShare, minShare);
    for (instance_health &instance : service.instances) {
        instance.score *= std::min(1.0F, after / before);
    }
}

/// Decays the recent outcomes for the time since the last call.
void decayOutcomes(service_health &service, instant now)
{
    const float decay = std::exp2(-seconds(now - service.advancedAt) / seconds(service.limits.outcomeHalfLife));
    service.advancedAt = now;
    for (instance_health &instance : service.instances) {
        instance.recentGood *= decay;
        instance.recentBad *= decay;
    }
}

} // namespace

void updateMembers(service_health &service, std::span<const registered_instance> instances)
{
    std::vector<instance_health> next;
    next.reserve(instances.size());
    for (const registered_instance &entry : instances) {
        const instance_health *before = findHealth(service, entry.last.instance);
        instance_health member = before ? *before : instance_health{.instance = entry.last.instance};
        member.servingSince = entry.servingSince;
        next.push_back(member);
    }
    service.instances = std::move(next);
}

void recordOutcome(service_health &service, const outcome &ended, instant now)
{
    instance_health *instance = find(service, ended.instance);
    if (!instance || isNoEvidence(ended) || countReusedConnectionTimeout(*instance, ended)) {
        return;
    }
    const bool bad = isBad(service, *instance, ended, now);
    (bad ? instance->recentBad : instance->recentGood) += 1;
    if (ended.kind == outcome_kind::Answered) {
        const auto latencyUs = static_cast<float>(ended.latency.count());
        const float before = instance->latencyUs > 0 ? instance->latencyUs : latencyUs;
        instance->latencyUs = before + (latencyUs - before) * latencyAverageWeight;
    }
    const bool noAnswer = ended.kind == outcome_kind::TimedOut || ended.kind == outcome_kind::ConnectFailed;
    if (bad) {
        updateBackgroundShare(service);
    }
    const int weight = noAnswer ? instance->reusedConnectionTimeouts + 1 : 1;
    instance->reusedConnectionTimeouts = 0;
    countOutcome(service, *instance, bad, weight);
    addEvidence(service, *instance, logLikelihoodRatio(service, ended, bad) * static_cast<float>(weight), now);
}

void advanceHealth(service_health &service, instant now)
{
    decayOutcomes(service, now);
    for (instance_health &instance : service.instances) {
        advanceState(service, instance, now);
    }
    service.peerLatencyUs = medianLatency(service);
    updateBackgroundShare(service);
    service.peerScore = medianScore(service, now);
}

void startProbation(service_health &service, instance_id instance, instant now)
{
    instance_health *known = find(service, instance);
    if (known && known->state == local_health_state::Healthy) {
        beginProbation(service, *known, now);
    }
}

const instance_health *findHealth(const service_health &service, instance_id instance)
{
    const auto found = std::ranges::lower_bound(service.instances, instance.value, {}, orderOf);
    return found != service.instances.end() && found->instance == instance ? &*found : nullptr;
}

suspicion_level suspicionLevelOf(const service_health &service, const instance_health &instance, instant now)
{
    if (instance.state != local_health_state::Healthy) {
        return instance.state == local_health_state::Held ? suspicion_level::Held : suspicion_level::None;
    }
    const float score = decayedScore(service.limits, instance, now) - service.peerScore;
    if (score >= service.limits.suspectScore && failsMoreThanPeers(service, instance)) {
        return suspicion_level::Suspect;
    }
    const bool lasts = instance.hintSince + service.limits.hintDelay <= now;
    return score >= service.limits.hintScore && lasts ? suspicion_level::Hint : suspicion_level::None;
}

float rampWeight(const health_limits &limits, const instance_health &instance, instant now)
{
    const auto ramp = [&](instant begin, duration length) {
        const float share = seconds(now - begin) / seconds(length);
        return std::clamp(share, limits.initialWeight, 1.0F);
    };
    const float cold = ramp(instance.servingSince, limits.coldStartRamp);
    return instance.state == local_health_state::Probation
               ? std::min(cold, ramp(instance.stateSince, limits.returnRamp))
               : cold;
}

} // namespace guavafront
