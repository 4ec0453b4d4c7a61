#include "control/control_cluster.h"

#include <boost/test/unit_test.hpp>

#include <utility>

namespace guavafront
{

namespace
{

/// Cluster of three control VMs that are all voters.
struct control_task_fixture {
    control_cluster cluster{3};

    control_task_fixture()
    {
        waitForAllVoters();
    }

    /// The leader admits one VM whenever it receives the list of live VMs, so the list is sent again until all vote.
    void waitForAllVoters()
    {
        cluster.waitUntil([this] {
            cluster.announceAll();
            const membership members = cluster.statusOf(cluster.waitForLeader()).members;
            return voterCount(members) == 3;
        });
    }

    /// Whether a replacement has begun. A new leader refuses replacements until it has committed a record of its own,
    /// and a repeated request finds that the learner is already a member.
    static bool isAcceptedOrPresent(result_code code)
    {
        return code == result_code::Ok || code == result_code::SubjectExists;
    }

    /// Submits changes until the given revision is accepted.
    void acceptUpTo(std::uint64_t last)
    {
        for (std::uint64_t id = 1; id <= last; ++id) {
            const change_answer answer = cluster.submitToLeader(control_cluster::accountCreation(id, {id - 1}));
            BOOST_REQUIRE(answer.code == result_code::Ok);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(control_task_test, control_task_fixture)

BOOST_AUTO_TEST_CASE(change_leaderStopped_successorGivesFirstAnswer)
{
    acceptUpTo(2);
    cluster.stop(cluster.waitForLeader());
    const change_answer again = cluster.submitToLeader(control_cluster::accountCreation(1, {0}));
    BOOST_CHECK(again.code == result_code::Ok);
    BOOST_TEST(again.atRevision.value == 1U);
    BOOST_CHECK(cluster.submitToLeader(control_cluster::accountCreation(9, {0})).code == result_code::RevisionConflict);
}

BOOST_AUTO_TEST_CASE(disks_lostOneAfterTheOther_nothingLost)
{
    acceptUpTo(3);
    std::vector<vm_id> voters{cluster.identityOf(0), cluster.identityOf(1), cluster.identityOf(2)};
    for (const std::size_t vm : {0U, 1U, 2U}) {
        cluster.stop(vm);
        cluster.loseDisk(vm);
        cluster.start(vm);
        BOOST_CHECK(cluster.identityOf(vm) != voters[vm]);
        const vm_id old = std::exchange(voters[vm], cluster.identityOf(vm));
        cluster.waitUntil([&] { return isAcceptedOrPresent(cluster.replace(old, voters[vm]).code); });
        cluster.waitForVoters(voters);
    }
    const control_status status = cluster.statusOf(cluster.waitForLeader());
    BOOST_TEST(status.accepted->atRevision.value == 3U);
    BOOST_TEST(cluster.submitToLeader(control_cluster::accountCreation(2, {1})).atRevision.value == 2U);
}

BOOST_AUTO_TEST_CASE(restartOfAll_hundredsOfChanges_sameState)
{
    acceptUpTo(300);
    for (const std::size_t vm : {0U, 1U, 2U}) {
        cluster.stop(vm);
    }
    for (const std::size_t vm : {0U, 1U, 2U}) {
        cluster.start(vm);
    }
    BOOST_TEST(cluster.submitToLeader(control_cluster::accountCreation(299, {298})).atRevision.value == 299U);
    BOOST_TEST(cluster.statusOf(cluster.waitForLeader()).accepted->accounts.size() == 300U);
}

BOOST_AUTO_TEST_CASE(removal_rightAfterAnotherVmDied_refused)
{
    const std::size_t leader = cluster.waitForLeader();
    const std::size_t dead = leader == 0 ? 1 : 0;
    const std::size_t other = leader == 2 ? 1 - dead : 2;
    cluster.stop(dead);
    BOOST_CHECK(cluster.replace(cluster.identityOf(other), {}).code == result_code::QuorumAtRisk);
    BOOST_TEST(cluster.statusOf(cluster.waitForLeader()).members.members.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
