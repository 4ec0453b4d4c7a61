#pragma once

#include <guavafront/coordination/avoidance/avoidance.h>
#include <guavafront/coordination/upstreams/recent_losses.h>

#include <optional>
#include <span>
#include <string_view>

namespace guavafront
{

/// Times and thresholds of the trials of avoided instances.
struct trial_limits {
    /// Least time since the last failure after which also a request that may not be repeated serves as a trial; see
    /// spread.
    duration unrepeatableDelay = std::chrono::milliseconds(7'500);
    /// The same while capacity is scarce.
    duration unrepeatableDelayWhenScarce = std::chrono::milliseconds(3'500);
    /// The same while the loss of the service's requests is severe, or notable while open instances have less than
    /// scarceOpenShare. A lost trial adds little then, and each instance that is won back serves many requests.
    duration unrepeatableDelayUnderLoss = std::chrono::milliseconds(1'500);
    /// Longest wait of a request that may be repeated while the loss of the service's requests is notable, so that
    /// instances that are healthy again get requests soon.
    duration repeatableDelayUnderLoss = std::chrono::milliseconds(3'500);
    /// VMs become ready to try an instance at times that differ by this at most, so that few of them try it before they
    /// have heard of the first trial.
    duration spread = std::chrono::milliseconds(500);
    /// Capacity is scarce when open instances have less than this share of the slots, 0 to 1.
    double scarceOpenShare = 0.55;
    /// Capacity is scarce when open instances run more requests than this share of their slots, 0 to 1.
    double crowdedLoadShare = 0.65;
};

/// What a service has left while some of its instances are avoided.
struct trial_situation {
    double openShare = 1; ///< Share of the slots that open instances have, 0 to 1.
    double openLoad = 0; ///< Requests at open instances, in shares of their slots.
    service_loss loss = service_loss::Small; ///< How much of the service's last requests at this VM wasn't served.
};

/// What a request may be used for.
enum class trial_use : std::uint8_t {
    None, ///< No trial: the request was sent before.
    Unrepeatable, ///< A late trial, since the caller gets no answer when it fails.
    /// The same, but only while the service needs capacity: it may be repeated, and only the spent retry budget keeps
    /// it from being a trial at no one's cost. Requests at other VMs, or later ones, can be that.
    BudgetSpent,
    Repeatable, ///< Any trial: when it fails, there is time for another attempt, and the retry budget allows it.
};

/// Why a request is a trial.
enum class trial_reason : std::uint8_t {
    None, ///< It is no trial.
    Capacity, ///< The service needs the capacity that the instance may have again.
    EpisodeOver, ///< The instance's failure episode is likely over, by the lengths of the service's last ones.
    Waited, ///< The instance has waited long enough for a request that has no second attempt.
    Unused, ///< Too few of the service's sound instances had a request lately, and this one may be sound again.
    NoneOpen, ///< All instances are avoided, and this one's last failure is the oldest.
};

/// Stable name of a reason in metrics and in the decision log.
std::string_view trialReasonName(trial_reason reason);

/// A trial.
struct trial_choice {
    instance_id instance; ///< Instance that is tried.
    trial_reason reason = trial_reason::None; ///< Why it is tried now.
};

/// An instance that may be tried now.
struct trial_candidate {
    instance_id instance; ///< The instance.
    bool near = false; ///< Whether it is in this VM's data centre.
};

/// Whether a service needs the capacity that its avoided instances may have again.
bool needsCapacity(const trial_situation &situation, const trial_limits &limits = {});

/// Chooses the instance that a request is sent to as a trial, of candidates in this VM's order of preference; nothing
/// when the request isn't used for a trial. A request that may be repeated tries the first candidate when the service
/// needs capacity, each VM at a moment of its own, and otherwise the first one whose failure episode is likely over by
/// the lengths that the service had. One that may not be repeated tries the near candidate that has waited longest
/// beyond its delay, as it is the likeliest to have recovered and so that none waits behind others that fail again.
std::optional<trial_choice> chooseTrial(const avoidance &state, std::span<const trial_candidate> candidates,
                                        const episode_lengths &lengths, const trial_situation &situation, trial_use use,
                                        vm_id self, instant now, const trial_limits &limits = {});

} // namespace guavafront
