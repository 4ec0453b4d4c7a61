#include "control/control_cluster.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <memory>
#include <string>
#include <thread>

namespace guavafront
{

namespace
{

/// Three control VMs that all vote.
struct evacuation_cluster_fixture {
    control_cluster cluster{3};
    std::uint64_t lastId = 0; ///< Number of the last order; a resent order gets a number of its own.

    evacuation_cluster_fixture()
    {
        cluster.waitUntil([this] {
            cluster.announceAll();
            return voterCount(cluster.statusOf(cluster.waitForLeader()).members) == 3;
        });
    }

    change_request orderOf(const std::string &dataCentre, evacuation_action action)
    {
        return {{5, ++lastId}, {}, {evacuation_order{dataCentre, action, 0}}};
    }

    /// Evacuated data centres by the state of a VM.
    std::vector<std::string> evacuatedAt(std::size_t vm)
    {
        return evacuatedDataCentres(cluster.statusOf(vm).accepted->evacuations);
    }

    /// Sends an order to the leader without waiting for the answer.
    void sendAndForget(const change_request &request)
    {
        cluster.inboxOf(cluster.waitForLeader())
            .post(change_submitted{{operator_role::Operator, {}}, request, [](const change_answer &) {
                                   }});
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(evacuation_cluster_test, evacuation_cluster_fixture)

BOOST_AUTO_TEST_CASE(order_acknowledged_timeOfTheLeaderOnEveryVm)
{
    BOOST_CHECK(cluster.submitToLeader(orderOf("occ-a", evacuation_action::Start)).code == result_code::Ok);
    const configuration known = *cluster.statusOf(cluster.waitForLeader()).accepted;
    BOOST_REQUIRE(known.evacuations.size() == 1U);
    BOOST_TEST(known.evacuations.front().startedMs > 0U);
    cluster.waitUntil([this, &known] {
        for (const std::size_t vm : {0U, 1U, 2U}) {
            if (cluster.statusOf(vm).accepted->evacuations != known.evacuations) {
                return false;
            }
        }
        return true;
    });
}

// Guards against an order that is lost, or takes effect twice, when the leader dies between storing it and answering.
BOOST_AUTO_TEST_CASE(order_leaderDiesBeforeTheAnswer_resendSettlesItOnce)
{
    for (int round = 0; round < 3; ++round) {
        const std::string dataCentre = "occ-" + std::to_string(round);
        const std::size_t leader = cluster.waitForLeader();
        sendAndForget(orderOf(dataCentre, evacuation_action::Start));
        cluster.stop(leader); // The order may be stored here alone, at a quorum or nowhere.
        const change_answer again = cluster.submitToLeader(orderOf(dataCentre, evacuation_action::Start));
        BOOST_CHECK(again.code == result_code::Ok);
        const std::size_t successor = cluster.waitForLeader();
        const std::uint64_t revisionAfter = cluster.statusOf(successor).accepted->atRevision.value;
        BOOST_TEST(revisionAfter == static_cast<std::uint64_t>(round) + 1);
        BOOST_TEST(evacuatedAt(successor).size() == static_cast<std::size_t>(round) + 1);
        cluster.start(leader);
        cluster.waitUntil([this, leader, revisionAfter] {
            return cluster.statusOf(leader).accepted->atRevision.value == revisionAfter;
        });
        BOOST_TEST(evacuatedAt(leader).size() == static_cast<std::size_t>(round) + 1);
    }
}

// Two orders cross: the first is resent after the opposite one was accepted, at another leader.
BOOST_AUTO_TEST_CASE(orders_crossing_lateCopyChangesNothing)
{
    BOOST_CHECK(cluster.submitToLeader(orderOf("occ-a", evacuation_action::Start)).code == result_code::Ok);
    BOOST_CHECK(cluster.submitToLeader(orderOf("occ-a", evacuation_action::End)).code == result_code::Ok);
    const change_answer late = cluster.submitToLeader(orderOf("occ-a", evacuation_action::Start));
    BOOST_CHECK(late.code == result_code::Ok);
    BOOST_TEST(late.atRevision.value == 2U);
    BOOST_TEST(evacuatedAt(cluster.waitForLeader()).empty());
}

// Two operators send opposite orders at the same time: one order of the log decides for all replicas.
BOOST_AUTO_TEST_CASE(orders_concurrent_sameStateOnEveryVm)
{
    for (int number = 0; number < 20; ++number) {
        sendAndForget(orderOf("occ-a", number % 2 == 0 ? evacuation_action::Start : evacuation_action::End));
    }
    BOOST_CHECK(cluster.submitToLeader(orderOf("occ-b", evacuation_action::Start)).code == result_code::Ok);
    const auto known = cluster.statusOf(cluster.waitForLeader()).accepted;
    cluster.waitUntil([this, &known] {
        for (const std::size_t vm : {0U, 1U, 2U}) {
            if (*cluster.statusOf(vm).accepted != *known) {
                return false;
            }
        }
        return true;
    });
    // Of the 20 orders within 4 s, the first of each kind is applied.
    BOOST_TEST(known->atRevision.value == 3U);
    BOOST_TEST(evacuatedDataCentres(known->evacuations).size() == 1U);
}

// Guards against an acknowledged order that is only in memory: all VMs stop right after the acknowledgement.
BOOST_AUTO_TEST_CASE(order_allVmsStopAfterTheAcknowledgement_inForceAfterRestart)
{
    BOOST_CHECK(cluster.submitToLeader(orderOf("occ-a", evacuation_action::Start)).code == result_code::Ok);
    for (const std::size_t vm : {0U, 1U, 2U}) {
        cluster.stop(vm);
    }
    for (const std::size_t vm : {0U, 1U, 2U}) {
        cluster.start(vm);
    }
    BOOST_TEST(evacuatedDataCentres(cluster.confirmedStatus().accepted->evacuations)
                   == std::vector<std::string>{"occ-a"},
               boost::test_tools::per_element());
}

// Guards against VMs of the previous build that can't join any more once a data centre was evacuated.
BOOST_AUTO_TEST_CASE(revocation_keptForItsTime_forgottenByAll)
{
    control_cluster brief(1, {}, std::chrono::milliseconds(100));
    BOOST_CHECK(brief.submitToLeader(orderOf("occ-a", evacuation_action::Start)).code == result_code::Ok);
    BOOST_CHECK(brief.submitToLeader(orderOf("occ-b", evacuation_action::Start)).code == result_code::Ok);
    BOOST_CHECK(brief.submitToLeader(orderOf("occ-a", evacuation_action::End)).code == result_code::Ok);
    std::this_thread::sleep_for(std::chrono::milliseconds(2'500));
    BOOST_TEST(brief.statusOf(0).accepted->evacuations.size() == 2U); // One is in force.
    BOOST_CHECK(brief.submitToLeader(orderOf("occ-b", evacuation_action::End)).code == result_code::Ok);
    brief.waitUntil([&brief] { return brief.statusOf(0).accepted->evacuations.empty(); });
    BOOST_TEST(brief.statusOf(0).accepted->atRevision.value == 6U);
}

// Guards against the loss of one disk, the tolerance of three VMs.
BOOST_AUTO_TEST_CASE(order_leaderLosesItsDisk_staysInForce)
{
    BOOST_CHECK(cluster.submitToLeader(orderOf("occ-a", evacuation_action::Start)).code == result_code::Ok);
    const std::size_t lost = cluster.waitForLeader();
    cluster.stop(lost);
    cluster.loseDisk(lost);
    cluster.start(lost);
    BOOST_TEST(evacuatedDataCentres(cluster.confirmedStatus().accepted->evacuations)
                   == std::vector<std::string>{"occ-a"},
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
