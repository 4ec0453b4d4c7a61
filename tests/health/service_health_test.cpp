#include <guavafront/coordination/health/service_health.h>

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t instanceCount = 6;
constexpr instant start{1h}; ///< After the cold-start ramp of instances that serve since time 0.

/// Six instances past their cold start, each of which has given ten answers of 10 ms.
struct service_health_fixture {
    service_health service;
    instant now = start;

    service_health_fixture()
    {
        std::vector<registered_instance> members(instanceCount);
        for (std::uint64_t id = 1; id <= instanceCount; ++id) {
            members[id - 1].last.instance = {id};
        }
        updateMembers(service, members);
        for (int round = 0; round < 10; ++round) {
            answerAll(10ms);
        }
    }

    void record(std::uint64_t id, outcome_kind kind, duration latency = 10ms, bool reused = false)
    {
        recordOutcome(service, {.instance = {id}, .kind = kind, .latency = latency, .reusedConnection = reused}, now);
    }

    /// Records one answer of each instance, a tenth of a second later.
    void answerAll(duration latency)
    {
        now += 100ms;
        for (std::uint64_t id = 1; id <= instanceCount; ++id) {
            record(id, outcome_kind::Answered, latency);
        }
        advanceHealth(service, now);
    }

    const instance_health &health(std::uint64_t id) const
    {
        return *findHealth(service, {id});
    }

    bool isHeld(std::uint64_t id) const
    {
        return health(id).state == local_health_state::Held;
    }

    /// Records outcomes until the instance is held, at most 50, and returns their number.
    int outcomesUntilHeld(std::uint64_t id, outcome_kind kind, duration latency = 10ms)
    {
        int outcomes = 0;
        while (!isHeld(id) && outcomes < 50) {
            record(id, kind, latency);
            ++outcomes;
        }
        return outcomes;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(service_health_test, service_health_fixture)

// Guards against holding the two near instances, which get most requests and fail alike, because the few requests at
// the far instances succeeded by chance.
BOOST_AUTO_TEST_CASE(recordOutcome_busyInstancesFailAlike_noneHeld)
{
    for (int round = 0; round < 30; ++round) {
        now += 100ms;
        for (std::uint64_t id = 1; id <= 2; ++id) {
            record(id, outcome_kind::ErrorAnswer);
            record(id, outcome_kind::Answered);
            record(id, outcome_kind::Answered);
        }
        record(3 + static_cast<std::uint64_t>(round) % 4, outcome_kind::Answered);
        advanceHealth(service, now);
        BOOST_TEST_REQUIRE(!isHeld(1));
        BOOST_TEST_REQUIRE(!isHeld(2));
    }
    BOOST_TEST(outcomesUntilHeld(1, outcome_kind::ErrorAnswer) < 50); // It now fails more than its peers.
}

BOOST_AUTO_TEST_CASE(gStatistic_sameShareAsPeers_zero)
{
    BOOST_TEST(gStatistic({.good = 7, .bad = 3}, {.good = 66, .bad = 30}) < 0.1F);
    BOOST_TEST(gStatistic({.good = 9, .bad = 1}, {.good = 66, .bad = 30}) == 0);
    BOOST_TEST(gStatistic({.bad = 3}, {.good = 3}) > 6.6F);
    BOOST_TEST(gStatistic({.bad = 3}, {.good = 3, .bad = 3}) < 6.6F);
}

BOOST_AUTO_TEST_CASE(recordOutcome_everyOutcomeBad_heldAfterThree)
{
    BOOST_TEST(outcomesUntilHeld(1, outcome_kind::IncompleteAnswer) == 3);
    BOOST_TEST(outcomesUntilHeld(2, outcome_kind::ErrorAnswer) == 3);
    BOOST_TEST(outcomesUntilHeld(3, outcome_kind::Answered, 100ms) == 3);
}

BOOST_AUTO_TEST_CASE(recordOutcome_halfOfAnswersCut_held)
{
    for (int round = 0; round < 10; ++round) {
        record(1, outcome_kind::Answered);
        record(1, outcome_kind::IncompleteAnswer);
    }
    BOOST_TEST(isHeld(1));
}

BOOST_AUTO_TEST_CASE(recordOutcome_rareErrors_notHeld)
{
    for (int round = 0; round < 200; ++round) {
        answerAll(10ms);
        if (round % 20 == 0) {
            record(1, outcome_kind::ErrorAnswer);
            record(1, outcome_kind::Answered, 100ms);
        }
    }
    BOOST_TEST(!isHeld(1));
    BOOST_TEST((suspicionLevelOf(service, health(1), now) == suspicion_level::None));
}

BOOST_AUTO_TEST_CASE(recordOutcome_allInstancesFailAlike_noneSingledOut)
{
    for (int round = 0; round < 100; ++round) {
        now += 100ms;
        for (std::uint64_t id = 1; id <= instanceCount; ++id) {
            record(id, round % 3 == 0 ? outcome_kind::ErrorAnswer : outcome_kind::Answered);
        }
        advanceHealth(service, now);
    }
    for (std::uint64_t id = 1; id <= instanceCount; ++id) {
        BOOST_TEST(!isHeld(id));
    }
}

BOOST_AUTO_TEST_CASE(recordOutcome_errorsBeginEverywhere_earlierOnesLoseWeight)
{
    record(1, outcome_kind::ErrorAnswer);
    BOOST_TEST(health(1).score > service.limits.hintScore);
    for (std::uint64_t id = 2; id <= instanceCount; ++id) {
        record(id, outcome_kind::ErrorAnswer);
    }
    now += 250ms;
    advanceHealth(service, now);
    BOOST_TEST(health(1).score < service.limits.hintScore);
    BOOST_TEST((suspicionLevelOf(service, health(1), now + 1s) == suspicion_level::None));
}

BOOST_AUTO_TEST_CASE(recordOutcome_allSlowerAlike_noneSingledOut)
{
    for (int round = 0; round < 30; ++round) {
        answerAll(10ms + round * 5ms);
    }
    BOOST_TEST(!isHeld(1));
}

BOOST_AUTO_TEST_CASE(recordOutcome_shedOrCancelledOrSuspectRequest_noEvidence)
{
    for (int round = 0; round < 20; ++round) {
        record(1, outcome_kind::Shed);
        record(1, outcome_kind::Cancelled);
        recordOutcome(service, {.instance = {1}, .kind = outcome_kind::ConnectionLost, .suspectRequest = true}, now);
    }
    BOOST_TEST(health(1).score == 0);
}

BOOST_AUTO_TEST_CASE(recordOutcome_silentConnectionsWhileFreshOnesWork_notHeld)
{
    for (int round = 0; round < 20; ++round) {
        record(1, outcome_kind::TimedOut, 1s, true);
        record(1, outcome_kind::Answered);
    }
    BOOST_TEST(health(1).score == 0);
}

BOOST_AUTO_TEST_CASE(recordOutcome_silentConnectionsAndFreshOneFails_held)
{
    record(1, outcome_kind::TimedOut, 1s, true);
    record(1, outcome_kind::TimedOut, 1s, true);
    BOOST_TEST(!isHeld(1));
    record(1, outcome_kind::TimedOut, 1s, false);
    BOOST_TEST(isHeld(1));
}

BOOST_AUTO_TEST_CASE(recordOutcome_slowColdStart_notHeld)
{
    service.instances[0].servingSince = now;
    for (int round = 0; round < 20; ++round) {
        record(1, outcome_kind::Answered, 200ms);
    }
    BOOST_TEST(!isHeld(1));
}

BOOST_AUTO_TEST_CASE(advanceHealth_flappingInstance_holdDoublesToItsBound)
{
    duration before{};
    for (int strike = 0; strike < 10; ++strike) {
        outcomesUntilHeld(1, outcome_kind::ConnectFailed);
        const duration length = health(1).stateUntil - health(1).stateSince;
        BOOST_TEST(length == std::min<duration>(5s * (1 << strike), 5min));
        before = length;
        now = health(1).stateUntil;
        advanceHealth(service, now);
        BOOST_TEST((health(1).state == local_health_state::Probation));
    }
    BOOST_TEST(before == 5min);
}

BOOST_AUTO_TEST_CASE(advanceHealth_holdOver_returnsGraduallyAndOneFailureHoldsAgain)
{
    outcomesUntilHeld(1, outcome_kind::IncompleteAnswer);
    now = health(1).stateUntil;
    advanceHealth(service, now);
    BOOST_TEST(rampWeight(service.limits, health(1), now) == service.limits.initialWeight);
    BOOST_TEST(rampWeight(service.limits, health(1), now + 5s) == 0.5F);
    record(1, outcome_kind::IncompleteAnswer);
    BOOST_TEST(isHeld(1));
}

BOOST_AUTO_TEST_CASE(advanceHealth_longHealthy_strikesForgotten)
{
    outcomesUntilHeld(1, outcome_kind::IncompleteAnswer);
    now = health(1).stateUntil;
    advanceHealth(service, now);
    now += service.limits.returnRamp;
    advanceHealth(service, now);
    BOOST_TEST((health(1).state == local_health_state::Healthy));
    advanceHealth(service, now + service.limits.strikeLifetime);
    BOOST_TEST(health(1).strikes == 0);
}

BOOST_AUTO_TEST_CASE(rampWeight_newInstance_risesToOne)
{
    const instance_health fresh{.instance = {9}, .servingSince = now};
    BOOST_TEST(rampWeight(service.limits, fresh, now) == service.limits.initialWeight);
    BOOST_TEST(rampWeight(service.limits, fresh, now + service.limits.coldStartRamp) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
