#include <guavafront/coordination/avoidance/episode_lengths.h>

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

struct episode_lengths_fixture {
    episode_lengths lengths;
    instant now{100s};

    void learn(int count, duration atLeast, duration atMost)
    {
        for (int index = 0; index < count; ++index) {
            recordEpisode(lengths, {.instance = {1}, .atLeast = atLeast, .atMost = atMost, .endedAt = now});
        }
    }

    duration rest(duration lasted = {}) const
    {
        return likelyRest(lengths, lasted, now);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(episode_lengths_test, episode_lengths_fixture)

BOOST_AUTO_TEST_CASE(rest_nothingLearned_assumed)
{
    BOOST_TEST((rest() == 5s));
    BOOST_TEST((rest(20s) == 5s));
}

BOOST_AUTO_TEST_CASE(rest_shortEpisodes_short)
{
    learn(32, 1900ms, 2100ms);
    BOOST_TEST((rest() <= 2250ms));
    BOOST_TEST((rest(1500ms) <= 750ms));
}

BOOST_AUTO_TEST_CASE(rest_longEpisodes_longButBounded)
{
    learn(32, 6s, 7s);
    BOOST_TEST((rest() >= 6s));
    learn(32, 50s, 60s);
    BOOST_TEST((rest() == 8s));
}

// Guards against an estimate that one odd episode moves.
BOOST_AUTO_TEST_CASE(rest_fewOddEpisodes_unchanged)
{
    learn(28, 1900ms, 2100ms);
    learn(4, 50s, 60s);
    BOOST_TEST((rest() <= 2250ms));
}

BOOST_AUTO_TEST_CASE(rest_beyondAllEpisodes_assumed)
{
    learn(32, 1900ms, 2100ms);
    BOOST_TEST((rest(3s) == 5s));
}

BOOST_AUTO_TEST_CASE(rest_oldEpisodes_assumedAgain)
{
    learn(32, 1900ms, 2100ms);
    now += 10min;
    BOOST_TEST((rest() == 5s));
}

// Guards against an estimate that stays at the first wait although the lengths differ, since a trial only shows that
// the episode ended before it.
BOOST_AUTO_TEST_CASE(rest_trialsAtEachEstimate_approachesLength)
{
    constexpr duration length = 2500ms;
    for (int episode = 0; episode < 40; ++episode) {
        duration lasted{};
        duration tried = rest();
        while (tried < length) {
            lasted = tried;
            tried += std::max<duration>(rest(lasted), 1500ms);
        }
        recordEpisode(lengths, {.instance = {1}, .atLeast = lasted, .atMost = tried, .endedAt = now});
        now += 1s;
    }
    BOOST_TEST((rest() >= 1500ms));
    BOOST_TEST((rest() <= 3500ms));
}

BOOST_AUTO_TEST_CASE(episodes_many_bounded)
{
    learn(1'000, 1s, 2s);
    BOOST_TEST(lengths.episodes.size() == episode_lengths::maxEpisodes);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
