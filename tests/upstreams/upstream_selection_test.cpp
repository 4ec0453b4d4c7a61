#include "upstreams/selection_fixture.h"

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;
using ids = std::set<std::uint64_t>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(upstream_selection_test, selection_fixture)

BOOST_AUTO_TEST_CASE(updateRotation_deadToOneDataCentre_ejectedThereOnly)
{
    fail(0, 3);
    fail(1, 3);
    settle();
    BOOST_TEST((outAt(2) == ids{3})); // VM 2 has no evidence of its own and acts on the reports of its data centre.
    BOOST_TEST(outAt(3).empty());
    BOOST_TEST(outAt(8).empty());
}

BOOST_AUTO_TEST_CASE(updateRotation_oneBadLink_lowWeightAtThatVmOnly)
{
    fail(0, 3, 10);
    settle();
    BOOST_TEST(outAnywhere().empty()); // One VM's report ejects nothing.
    BOOST_TEST((member(0, 3).rotation == rotation_state::Returning));
    BOOST_TEST(member(0, 3).weight <= 0.1F);
    for (std::size_t vm = 1; vm < vms.size(); ++vm) {
        BOOST_TEST((member(vm, 3).rotation == rotation_state::InRotation));
        BOOST_TEST(member(vm, 3).weight == 1);
    }
}

BOOST_AUTO_TEST_CASE(updateRotation_twoFaultyOfSix_sameOneEjectedEverywhere)
{
    for (std::size_t vm = 0; vm < vms.size(); ++vm) {
        fail(vm, 2);
        fail(vm, 5);
    }
    settle();
    for (std::size_t vm = 0; vm < vms.size(); ++vm) {
        BOOST_TEST((outAt(vm) == ids{2}));
    }
}

// Two data centres that are cut off from each other suspect different instances. Once they are connected, only one
// instance stays ejected.
BOOST_AUTO_TEST_CASE(updateRotation_decidedWhileCutOff_oneEjectedOnceConnected)
{
    receives = [](std::size_t to, std::size_t from) {
        return to / 3 == from / 3;
    };
    fail(0, 2);
    fail(1, 2);
    fail(3, 5);
    fail(4, 5);
    settle(2);
    receives = [](std::size_t, std::size_t) {
        return true;
    };
    deliverAll();
    settle();
    BOOST_TEST((outAnywhere() == ids{2}));
}

// Guards against two ejections while reports take half a second to cross the fleet. VMs without evidence of their own
// act on the reports of others.
BOOST_AUTO_TEST_CASE(updateRotation_corroboratedWhileReportsCross_neverTwoOutOnOthersReports)
{
    receives = [](std::size_t to, std::size_t from) {
        return to / 3 == from / 3;
    };
    fail(0, 2);
    fail(1, 2);
    fail(3, 5);
    fail(4, 5);
    for (int round = 0; round < 6; ++round) {
        settle(1);
        ids out = outAt(2);
        out.merge(outAt(5));
        BOOST_TEST(out.size() <= 1U);
        receives = [](std::size_t, std::size_t) {
            return true;
        };
        deliverAll();
    }
    BOOST_TEST((outAt(2) == ids{2}));
}

BOOST_AUTO_TEST_CASE(updateRotation_vmCutOff_noEjectionOnOthersReports)
{
    vms[2].fleet.seesMajority = false;
    fail(0, 3);
    fail(1, 3);
    settle();
    BOOST_TEST(outAt(2).empty());
    fail(2, 3);
    settle();
    BOOST_TEST((outAt(2) == ids{3}));
}

BOOST_AUTO_TEST_CASE(updateRotation_suspicionOver_returnsGraduallyEverywhere)
{
    fail(0, 3);
    fail(1, 3);
    settle();
    settle(10); // The first hold takes 5 s.
    BOOST_TEST(outAnywhere().empty());
    BOOST_TEST((member(2, 3).rotation == rotation_state::Returning));
    BOOST_TEST(member(2, 3).weight < 0.5F);
    settle(20);
    BOOST_TEST((member(2, 3).rotation == rotation_state::InRotation));
}

BOOST_AUTO_TEST_CASE(updateRotation_nothingNew_publishesNothing)
{
    BOOST_TEST(settle() == 0);
    fail(0, 3);
    BOOST_TEST(settle(1) == 1);
    BOOST_TEST(settle(1) == 0);
}

BOOST_AUTO_TEST_CASE(selectInstance_instanceOutOfRotation_onlyRepeatableOverflowReachesIt)
{
    fail(0, 3);
    fail(1, 3);
    settle();
    int chosen = 0;
    for (std::uint64_t draw = 0; draw < 20; ++draw) {
        const auto choice = selectInstance(vms[0], registries[0], "cobros", {}, draw * 7919);
        BOOST_TEST(choice.value_or(instance_id{3}).value != 3);
        chosen += choice ? 1 : 0;
    }
    BOOST_TEST(chosen == 20); // Five instances of 4 slots, which are full now.
    BOOST_TEST(!selectInstance(vms[0], registries[0], "cobros", {}, 1));
    const auto overflow = selectInstance(vms[0], registries[0], "cobros", {.repeatable = true}, 1);
    BOOST_TEST(overflow.value_or(instance_id{}).value == 3);
}

BOOST_AUTO_TEST_CASE(followRegistry_leavingInstance_noNewWork)
{
    announcement leaving = makeAnnouncement(1);
    leaving.sequence = 2;
    leaving.state = instance_state::Leaving;
    learn(registries[0], {100}, leaving, now);
    followRegistry(vms[0], registries[0]);
    for (std::uint64_t draw = 0; draw < 20; ++draw) {
        const auto choice = selectInstance(vms[0], registries[0], "cobros", {.repeatable = true}, draw * 7919);
        BOOST_TEST(choice.value_or(instance_id{}).value != 1);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
