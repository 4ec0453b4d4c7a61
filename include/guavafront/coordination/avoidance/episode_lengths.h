#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>

#include <cstddef>
#include <vector>

namespace guavafront
{

/// Failure episode of an instance that is over: the time from its first failure until it recovered. Its length isn't
/// known exactly, since between two trials nobody sees whether the instance still fails.
struct failure_episode {
    instance_id instance; ///< The instance.
    duration atLeast{}; ///< Age of the episode at its last failure.
    duration atMost{}; ///< Age of the episode when a trial succeeded.
    instant endedAt{}; ///< Time of that trial's end.
};

/// Lengths of one service's last failure episodes, learned from the reports that every VM gets.
struct episode_lengths {
    static constexpr std::size_t maxEpisodes = 32; ///< Bound of episodes; about 1 KB a service.
    std::vector<failure_episode> episodes; ///< The newest episodes, oldest first.
};

/// How the end of an episode is predicted.
struct episode_parameters {
    /// Time without failure after which an episode is taken to be over while no lengths are known. Of a service's
    /// requests 3.7 in 100 failed with 5 s and 6.9 in 100 with 1.5 s.
    duration assumedRest = std::chrono::seconds(5);
    /// Episodes that the assumption counts for, so that few samples don't outweigh it at once.
    double assumedEpisodes = 2;
    /// Share of episodes that must be over, 0 to 1. A failed trial costs a retry, while an instance that returns later
    /// costs nothing as long as its capacity isn't needed.
    double overShare = 0.75;
    /// Age at which an episode counts half. The faults of a service change within minutes.
    duration halfLife = std::chrono::seconds(60);
    /// An instance that fails again this soon after its recovery has not recovered: a gray instance also answers some
    /// requests.
    duration relapseTime = std::chrono::seconds(2);
};

/// Adds an episode that has ended.
void recordEpisode(episode_lengths &state, const failure_episode &ended);

/// Removes the instance's episode that ended at a time, since the instance has failed again.
void removeEpisode(episode_lengths &state, instance_id instance, instant endedAt);

/// Time after which an episode that has already lasted for some time is likely over, from then on.
duration likelyRest(const episode_lengths &state, duration lasted, instant now,
                    const episode_parameters &parameters = {});

} // namespace guavafront
