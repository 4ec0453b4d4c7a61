#include <guavafront/coordination/avoidance/episode_lengths.h>

#include <algorithm>
#include <cmath>

namespace guavafront
{

namespace
{

/// Longest rest that is predicted; an instance whose episode lasts longer is tried this often.
constexpr duration longestRest = std::chrono::seconds(8);

/// Weight of an episode, which halves with each half-life since its end.
double weightOf(const failure_episode &episode, instant now, const episode_parameters &parameters)
{
    const std::chrono::duration<double> age = now - episode.endedAt;
    return std::exp2(-age / std::chrono::duration<double>(parameters.halfLife));
}

/// Weighted shares of episodes that lasted longer than some time.
struct rest_shares {
    double all = 0; ///< Weight of those episodes.
    double over = 0; ///< Weight of those that are over after the rest.
};

/// Adds an episode's part that lasts longer than the given time. Where the end lies between the bounds is unknown; each
/// moment is taken as equally likely.
void addEpisode(rest_shares &shares, const failure_episode &episode, duration lasted, duration rest, double weight)
{
    if (episode.atMost <= lasted) {
        return;
    }
    const std::chrono::duration<double> width = std::max(episode.atMost - episode.atLeast, duration(1));
    const duration from = std::max(episode.atLeast, lasted);
    const std::chrono::duration<double> left = episode.atMost - from;
    const std::chrono::duration<double> covered = std::clamp(lasted + rest, from, episode.atMost) - from;
    shares.all += weight * (left / width);
    shares.over += weight * (covered / width);
}

/// Share of the episodes lasting longer than the given time that are over after the rest, 0 to 1.
double shareOver(const episode_lengths &state, duration lasted, duration rest, instant now,
                 const episode_parameters &parameters)
{
    rest_shares shares{.all = parameters.assumedEpisodes,
                       .over = rest >= parameters.assumedRest ? parameters.assumedEpisodes : 0};
    for (const failure_episode &each : state.episodes) {
        addEpisode(shares, each, lasted, rest, weightOf(each, now, parameters));
    }
    return shares.over / shares.all;
}

} // namespace

void recordEpisode(episode_lengths &state, const failure_episode &ended)
{
    if (state.episodes.size() >= episode_lengths::maxEpisodes) {
        state.episodes.erase(state.episodes.begin());
    }
    state.episodes.push_back(ended);
}

void removeEpisode(episode_lengths &state, instance_id instance, instant endedAt)
{
    std::erase_if(state.episodes, [instance, endedAt](const failure_episode &each) {
        return each.instance == instance && each.endedAt == endedAt;
    });
}

duration likelyRest(const episode_lengths &state, duration lasted, instant now, const episode_parameters &parameters)
{
    constexpr duration step = std::chrono::milliseconds(250);
    duration rest = step;
    while (rest < longestRest && shareOver(state, lasted, rest, now, parameters) < parameters.overShare) {
        rest += step;
    }
    return rest;
}

} // namespace guavafront
