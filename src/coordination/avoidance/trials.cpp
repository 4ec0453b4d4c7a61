#include <guavafront/coordination/avoidance/trials.h>

#include "coordination/routing/rendezvous.h"

#include <algorithm>

namespace guavafront
{

namespace
{

/// This VM's part of the spread of trials of an instance, which differs from failure to failure.
duration staggerOf(vm_id self, instance_id instance, instant lastFailure, const trial_limits &limits)
{
    const auto moment = static_cast<std::uint64_t>(lastFailure.time_since_epoch() / std::chrono::seconds(1));
    const std::uint64_t hash = rendezvousHash(self.value + moment, instance.value);
    return duration(static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(limits.spread.count())));
}

/// Time after an instance's last failure until a request that may not be repeated is sent to it as a trial.
duration unrepeatableDelay(const trial_situation &situation, const trial_limits &limits)
{
    const bool fewOpen = situation.openShare < limits.scarceOpenShare;
    if (situation.loss == service_loss::Severe || (fewOpen && situation.loss == service_loss::Notable)) {
        return limits.unrepeatableDelayUnderLoss;
    }
    const bool isScarce = fewOpen || situation.openLoad > limits.crowdedLoadShare;
    return isScarce ? limits.unrepeatableDelayWhenScarce : limits.unrepeatableDelay;
}

std::optional<instance_id> longestWaiting(const avoidance &state, std::span<const trial_candidate> candidates,
                                          duration delay, vm_id self, instant now, const trial_limits &limits)
{
    std::optional<instance_id> longest;
    instant longestReadyAt = now;
    for (const trial_candidate &each : candidates) {
        const instant lastFailure = lastFailureOf(state, each.instance);
        const instant readyAt = lastFailure + delay + staggerOf(self, each.instance, lastFailure, limits);
        if (each.near && readyAt < longestReadyAt) {
            longest = each.instance;
            longestReadyAt = readyAt;
        }
    }
    return longest;
}

/// Whether the instance's failure episode is likely over, by the time that has passed since its last failure.
bool isLikelyOver(const avoidance &state, instance_id instance, const episode_lengths &lengths,
                  const trial_situation &situation, vm_id self, instant now, const trial_limits &limits)
{
    const instant lastFailure = lastFailureOf(state, instance);
    duration rest = likelyRest(lengths, episodeAge(state, instance), now);
    if (situation.loss != service_loss::Small) {
        rest = std::min(rest, limits.repeatableDelayUnderLoss);
    }
    return now >= lastFailure + rest + staggerOf(self, instance, lastFailure, limits);
}

} // namespace

bool needsCapacity(const trial_situation &situation, const trial_limits &limits)
{
    return situation.openShare < limits.scarceOpenShare || situation.openLoad > limits.crowdedLoadShare
           || situation.loss == service_loss::Severe;
}

std::string_view trialReasonName(trial_reason reason)
{
    switch (reason) {
    case trial_reason::Capacity:
        return "capacity";
    case trial_reason::EpisodeOver:
        return "episode_over";
    case trial_reason::Waited:
        return "waited";
    case trial_reason::Unused:
        return "unused";
    case trial_reason::NoneOpen:
        return "none_open";
    case trial_reason::None:
        break;
    }
    return "none";
}

std::optional<trial_choice> chooseTrial(const avoidance &state, std::span<const trial_candidate> candidates,
                                        const episode_lengths &lengths, const trial_situation &situation, trial_use use,
                                        vm_id self, instant now, const trial_limits &limits)
{
    if (candidates.empty() || use == trial_use::None) {
        return std::nullopt;
    }
    const bool capacityNeeded = needsCapacity(situation, limits);
    if (use == trial_use::BudgetSpent && !capacityNeeded) {
        return std::nullopt;
    }
    if (use != trial_use::Repeatable) {
        const auto waited = longestWaiting(state, candidates, unrepeatableDelay(situation, limits), self, now, limits);
        return waited ? std::optional(trial_choice{*waited, trial_reason::Waited}) : std::nullopt;
    }
    if (capacityNeeded) {
        const auto due = std::ranges::find_if(candidates, [&](const trial_candidate &each) {
            const duration stagger = staggerOf(self, each.instance, lastFailureOf(state, each.instance), limits);
            return now >= trialAllowedSince(state, each.instance) + stagger;
        });
        return due == candidates.end() ? std::nullopt
                                       : std::optional(trial_choice{due->instance, trial_reason::Capacity});
    }
    const auto over = std::ranges::find_if(candidates, [&](const trial_candidate &each) {
        return isLikelyOver(state, each.instance, lengths, situation, self, now, limits);
    });
    if (over == candidates.end()) {
        return std::nullopt;
    }
    return trial_choice{over->instance, trial_reason::EpisodeOver};
}

} // namespace guavafront
