#include <guavafront/coordination/avoidance/avoidance.h>
#include <guavafront/coordination/routing/affinity.h>

#include <boost/test/unit_test.hpp>

#include <set>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

/// One VM with four near and four far instances of four slots each, and an avoidance without records.
struct avoidance_fixture {
    avoidance avoidedInstances;
    candidate_set set;
    instant now{100s};
    vm_id self{7};

    avoidance_fixture()
    {
        for (std::uint64_t id = 1; id <= 8; ++id) {
            set.members.push_back({.instance = {id}, .slots = 4});
        }
        set.nearCount = 4;
        set.typicalLatencyUs = 300'000;
    }

    bool record(std::uint64_t id, instance_report_kind kind)
    {
        return recordInstanceReport(avoidedInstances, {{id}, kind}, now);
    }

    avoidance_status status(std::uint64_t id) const
    {
        return avoidanceStatusOf(avoidedInstances, {id}, now);
    }

    std::optional<affinity_choice> choose(bool repeatable = false, vm_id vm = {7}) const
    {
        return chooseByAffinity(set, avoidedInstances, vm, {.excluded = {}, .repeatable = repeatable}, now);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(avoidance_test, avoidance_fixture)

BOOST_AUTO_TEST_CASE(failure_first_avoidedAtOnceThenOnTrial)
{
    BOOST_TEST(record(1, instance_report_kind::Failed));
    BOOST_TEST((status(1) == avoidance_status::Avoided));
    now += 1600ms;
    BOOST_TEST((status(1) == avoidance_status::Trial));
    record(1, instance_report_kind::TrialStarted);
    BOOST_TEST((status(1) == avoidance_status::Avoided));
    BOOST_TEST(record(1, instance_report_kind::Recovered));
    BOOST_TEST((status(1) == avoidance_status::Open));
}

BOOST_AUTO_TEST_CASE(failure_ofAttemptsUnderWay_delayNotExtended)
{
    record(1, instance_report_kind::Failed);
    now += 1s;
    BOOST_TEST(!record(1, instance_report_kind::Failed));
    now += 600ms;
    BOOST_TEST((status(1) == avoidance_status::Trial));
}

BOOST_AUTO_TEST_CASE(errors_untilThird_avoidedOnlyThen)
{
    record(1, instance_report_kind::ServerError);
    record(1, instance_report_kind::ServerError);
    BOOST_TEST((status(1) == avoidance_status::Open));
    record(1, instance_report_kind::ServerError);
    BOOST_TEST((status(1) == avoidance_status::Avoided));
}

BOOST_AUTO_TEST_CASE(errors_farApart_notAvoided)
{
    for (int round = 0; round < 6; ++round) {
        record(1, instance_report_kind::ServerError);
        now += 1500ms;
    }
    BOOST_TEST((status(1) == avoidance_status::Open));
}

BOOST_AUTO_TEST_CASE(choice_nothingKnown_nearAndAlwaysTheSame)
{
    const auto first = choose();
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(first->instance.value <= 4U);
    BOOST_TEST((choose()->instance == first->instance));
}

BOOST_AUTO_TEST_CASE(choice_manyVms_spreadOverAllNearInstances)
{
    std::set<std::uint64_t> used;
    for (std::uint64_t vm = 1; vm <= 16; ++vm) {
        used.insert(choose(false, {vm * 7919})->instance.value);
    }
    BOOST_TEST(used.size() == 4U);
}

BOOST_AUTO_TEST_CASE(choice_firstInstanceFull_anotherTaken)
{
    const instance_id first = choose()->instance;
    candidate *member = findCandidate(set, first);
    member->reportedLoad = 4;
    member->loadReportedAt = now;
    BOOST_TEST((choose()->instance != first));
}

BOOST_AUTO_TEST_CASE(choice_connectionKeptAtTheNext_taken)
{
    const instance_id first = choose()->instance;
    const auto next = chooseByAffinity(set, avoidedInstances, {7}, {.excluded = std::span(&first, 1)}, now);
    findCandidate(set, next->instance)->connectionKeptUntil = now + 1s;
    BOOST_TEST((choose()->instance == next->instance));
    now += 2s;
    BOOST_TEST((choose()->instance == first));
}

// Guards against trials that mostly fail although nothing is gained by them: an instance was tried 1.5 s after its
// failure while three quarters of the slots were free.
BOOST_AUTO_TEST_CASE(choice_onTrialCapacityNotNeeded_repeatableWhenEpisodeLikelyOverOtherLater)
{
    const instance_id first = choose()->instance;
    recordInstanceReport(avoidedInstances, {first, instance_report_kind::Failed}, now);
    now += 2s;
    BOOST_TEST(!choose(true)->trial);
    BOOST_TEST((choose(false)->instance != first));
    now += 3600ms;
    BOOST_TEST((choose(true)->instance == first));
    BOOST_TEST(choose(true)->trial);
    BOOST_TEST((choose(false)->instance != first));
    now += 7400ms;
    BOOST_TEST((choose(false)->instance == first));
}

// Guards against a service in which most instances fail at once getting its trials late.
BOOST_AUTO_TEST_CASE(choice_onTrialFewOpen_repeatableSoon)
{
    for (const std::uint64_t id : {1U, 2U, 3U, 5U}) {
        record(id, instance_report_kind::Failed);
    }
    now += 1600ms;
    BOOST_TEST(choose(true)->trial);
    BOOST_TEST(!choose(false)->trial);
}

BOOST_AUTO_TEST_CASE(choice_allAvoided_oldestFailureTaken)
{
    for (std::uint64_t id = 1; id <= 8; ++id) {
        record(id, instance_report_kind::Failed);
        now += 100ms;
    }
    const auto chosen = choose();
    BOOST_REQUIRE(chosen.has_value());
    BOOST_TEST(chosen->instance.value == 1U);
    BOOST_TEST(chosen->trial);
}

BOOST_AUTO_TEST_CASE(unrepeatableRequest_severeLoss_longestWaitingNearInstanceTriedWithinTwoSeconds)
{
    record(2, instance_report_kind::Failed);
    now += 300ms;
    record(1, instance_report_kind::Failed);
    record(5, instance_report_kind::Failed);
    now += 2s;
    const choice_request lossy{.loss = service_loss::Severe};
    for (std::uint64_t vm = 1; vm <= 20; ++vm) {
        const auto chosen = chooseByAffinity(set, avoidedInstances, {vm}, lossy, now);
        BOOST_TEST((chosen->trial && (chosen->instance == instance_id{1} || chosen->instance == instance_id{2})));
        BOOST_TEST(!choose(false, {vm})->trial);
    }
}

BOOST_AUTO_TEST_CASE(unrepeatableRequest_notableLoss_triedEarlyOnlyWhileFewAreOpen)
{
    const choice_request lossy{.loss = service_loss::Notable};
    record(1, instance_report_kind::Failed);
    now += 2100ms;
    BOOST_TEST(!chooseByAffinity(set, avoidedInstances, self, lossy, now)->trial);
    for (const std::uint64_t id : {2U, 3U, 5U}) {
        record(id, instance_report_kind::Failed);
    }
    BOOST_TEST(chooseByAffinity(set, avoidedInstances, self, lossy, now)->trial);
}

BOOST_AUTO_TEST_CASE(unrepeatableRequests_ofManyVms_readyAtDifferentTimes)
{
    record(1, instance_report_kind::Failed);
    now += 1750ms;
    std::size_t ready = 0;
    for (std::uint64_t vm = 1; vm <= 100; ++vm) {
        ready += chooseByAffinity(set, avoidedInstances, {vm}, {.loss = service_loss::Severe}, now)->trial ? 1 : 0;
    }
    BOOST_TEST(ready > 25U);
    BOOST_TEST(ready < 75U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
