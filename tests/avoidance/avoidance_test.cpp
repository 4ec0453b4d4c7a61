#include <guavafront/coordination/avoidance/avoidance.h>
#include <guavafront/coordination/routing/affinity.h>

#include <boost/test/unit_test.hpp>

#include <set>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

/// Four near and four far instances with four slots, and what the fleet holds of them.
struct avoidance_fixture {
    avoidance troubles;
    candidate_set set;
    instant now{100s};
    vm_id self{7};

    avoidance_fixture()
    {
        for (std::uint64_t id = 1; id <= 8; ++id) {
            set.items.push_back({.instance = {id}, .slots = 4});
        }
        set.nearCount = 4;
        set.typicalLatencyUs = 300'000;
    }

    bool note(std::uint64_t id, instance_sign sign)
    {
        return noteSign(troubles, {{id}, sign}, now);
    }

    avoidance_standing standing(std::uint64_t id) const
    {
        return standingOf(troubles, {id}, now);
    }

    std::optional<affinity_choice> choose(bool repeatable = false, vm_id vm = {7}) const
    {
        return chooseByAffinity(set, troubles, vm, {.tried = {}, .repeatable = repeatable}, now);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(avoidance_test, avoidance_fixture)

BOOST_AUTO_TEST_CASE(failure_first_avoidedAtOnceThenOnTrial)
{
    BOOST_TEST(note(1, instance_sign::Failed));
    BOOST_TEST((standing(1) == avoidance_standing::Avoided));
    now += 1600ms;
    BOOST_TEST((standing(1) == avoidance_standing::Trial));
    note(1, instance_sign::TrialBegan);
    BOOST_TEST((standing(1) == avoidance_standing::Avoided));
    BOOST_TEST(note(1, instance_sign::Sound));
    BOOST_TEST((standing(1) == avoidance_standing::Open));
}

BOOST_AUTO_TEST_CASE(failure_ofTriesUnderWay_lengthensNothing)
{
    note(1, instance_sign::Failed);
    now += 1s;
    BOOST_TEST(!note(1, instance_sign::Failed));
    now += 600ms;
    BOOST_TEST((standing(1) == avoidance_standing::Trial));
}

BOOST_AUTO_TEST_CASE(errors_oneOrTwo_nothingThreeAvoided)
{
    note(1, instance_sign::Erred);
    note(1, instance_sign::Erred);
    BOOST_TEST((standing(1) == avoidance_standing::Open));
    note(1, instance_sign::Erred);
    BOOST_TEST((standing(1) == avoidance_standing::Avoided));
}

BOOST_AUTO_TEST_CASE(errors_farApart_nothing)
{
    for (int round = 0; round < 6; ++round) {
        note(1, instance_sign::Erred);
        now += 1500ms;
    }
    BOOST_TEST((standing(1) == avoidance_standing::Open));
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
    member->loadAt = now;
    BOOST_TEST((choose()->instance != first));
}

BOOST_AUTO_TEST_CASE(choice_connectionKeptAtTheNext_taken)
{
    const instance_id first = choose()->instance;
    const auto next = chooseByAffinity(set, troubles, {7}, {.tried = std::span(&first, 1)}, now);
    findCandidate(set, next->instance)->keptUntil = now + 1s;
    BOOST_TEST((choose()->instance == next->instance));
    now += 2s;
    BOOST_TEST((choose()->instance == first));
}

BOOST_AUTO_TEST_CASE(choice_onTrial_repeatableSoonOtherOnlyLater)
{
    const instance_id first = choose()->instance;
    noteSign(troubles, {first, instance_sign::Failed}, now);
    now += 2s;
    BOOST_TEST((choose(true)->instance == first));
    BOOST_TEST(choose(true)->trial);
    BOOST_TEST((choose(false)->instance != first));
    now += 11s;
    BOOST_TEST((choose(false)->instance == first));
}

BOOST_AUTO_TEST_CASE(choice_allInTrouble_longestAgoTaken)
{
    for (std::uint64_t id = 1; id <= 8; ++id) {
        note(id, instance_sign::Failed);
        now += 100ms;
    }
    const auto chosen = choose();
    BOOST_REQUIRE(chosen.has_value());
    BOOST_TEST(chosen->instance.value == 1U);
    BOOST_TEST(chosen->trial);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
