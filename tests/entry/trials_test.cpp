#include "entry/entry_fixture.h"

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

/// An entry VM that chooses by affinity and knows four instances of flagsja with 4 slots each, one of which failed 6 s
/// ago by another VM's report.
struct entry_trials_fixture : entry_fixture {
    static constexpr instance_id failed{3};
    static constexpr attempt_result closed{.outcome = attempt_outcome::ClosedEarly,
                                           .mayHaveBeenSent = true,
                                           .latency = 1ms};

    entry_trials_fixture()
    {
        state = makeEntry({.self = {1}, .dataCentre = "gdl-a"},
                          {.limits = {.fleetSize = 1}, .balancing = balancing_policy::Affinity});
        applyDraft();
        for (std::uint64_t id = 3; id <= 6; ++id) {
            announceInstance(id, "flagsja");
        }
        advanceTime(1s);
        run(evidence_received{{failed, instance_report_kind::Failed}});
        now += 6s;
    }

    void setTokens(float tokens)
    {
        findRetryBudget(state.selection, state.upstreams, "flagsja")->tokens = tokens;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(entry_trials_test, entry_trials_fixture)

BOOST_AUTO_TEST_CASE(trial_fails_retriedAtOpenInstance)
{
    const exchange_id id = request("GET", "/flags");
    BOOST_TEST((find<start_attempt>()->trialReason == trial_reason::EpisodeOver));
    BOOST_TEST((find<start_attempt>()->instance == failed));
    run(evidence_received{{{4}, instance_report_kind::Failed}});
    now += 1600ms; // Another instance could be tried by now.
    run(attempt_ended{id, closed});
    BOOST_REQUIRE(find<start_attempt>());
    BOOST_TEST(!find<start_attempt>()->trial);
    BOOST_TEST((find<start_attempt>()->instance != instance_id{4}));
}

// Guards against trials whose failure the caller gets as its answer, since no retry is left.
BOOST_AUTO_TEST_CASE(trial_budgetSpent_requestNotUsed)
{
    setTokens(0);
    request("GET", "/flags");
    BOOST_TEST(!find<start_attempt>()->trial);
}

BOOST_AUTO_TEST_CASE(retry_budgetSpent_reported)
{
    setTokens(0);
    const exchange_id id = request("GET", "/flags");
    run(attempt_ended{id, closed});
    BOOST_REQUIRE(find<report_retry_refused>());
    BOOST_TEST(find<report_retry_refused>()->tokens < 1);
    BOOST_TEST(find<refuse_request>());
}

// Guards against a VM that knows lengths only from what it saw itself.
BOOST_AUTO_TEST_CASE(reports_ofOtherVms_lengthsLearned)
{
    run(evidence_received{{failed, instance_report_kind::Recovered}});
    const episode_lengths &learned = state.selection.services.front().episodes;
    BOOST_REQUIRE(learned.episodes.size() == 1U);
    BOOST_TEST((learned.episodes.front().atMost == 6s));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
