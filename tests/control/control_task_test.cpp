#include "control/control_cluster.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <thread>
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

// Guards against a fleet without a configuration for good: voters that had been replaced at other addresses counted on
// until they were more than half.
BOOST_AUTO_TEST_CASE(vms_replacedAtOtherAddressesInSeries_majorityKept)
{
    constexpr std::size_t size = 5;
    constexpr std::chrono::milliseconds lostLimit(500);
    control_cluster replaced(size, {.targetVoters = 15, .lostMemberLimit = lostLimit});
    std::vector<std::size_t> running{0, 1, 2, 3, 4};
    const auto waitUntilAllVote = [&replaced, &running] {
        replaced.waitUntil([&] {
            replaced.announceAll();
            const membership members = replaced.statusOf(replaced.waitForLeader()).members;
            return std::ranges::all_of(running,
                                       [&](std::size_t vm) { return isVoter(members, replaced.identityOf(vm)); });
        });
    };
    waitUntilAllVote();
    for (std::uint64_t round = 0; round < 2 * size; ++round) {
        replaced.stop(running[round % size]);
        running[round % size] = replaced.addVm();
        waitUntilAllVote();
        std::this_thread::sleep_for(2 * lostLimit); // The next VM is lost only some time after its successor votes.
        const change_answer answer = replaced.submitToLeader(control_cluster::accountCreation(round + 1, {round}));
        BOOST_REQUIRE(answer.code == result_code::Ok);
    }
    replaced.stop(running[0]);
    replaced.stop(running[1]);
    BOOST_TEST(replaced.statusOf(replaced.waitForLeader()).accepted->atRevision.value == 2 * size);
}

// Guards against a full cluster that leaves a control VM out: one that lost its disk joins in place of its former
// identity, whose address a new leader has never seen.
BOOST_AUTO_TEST_CASE(vm_diskLostInAFullClusterWithANewLeader_votesWithinRecovery)
{
    constexpr std::size_t size = 5;
    constexpr std::chrono::seconds recovery(15);
    control_cluster full(size, {.targetVoters = size});
    const auto votersOf = [&full] {
        full.announceAll();
        return full.statusOf(full.waitForLeader()).members;
    };
    full.waitUntil([&] { return voterCount(votersOf()) == size; });
    const std::size_t lost = full.waitForLeader();
    full.stop(lost);
    full.loseDisk(lost);
    const auto lostAt = std::chrono::steady_clock::now();
    full.start(lost);
    full.waitUntil([&] { return isVoter(votersOf(), full.identityOf(lost)); });
    BOOST_TEST((std::chrono::steady_clock::now() - lostAt < recovery));
    full.waitUntil([&] { return voterCount(votersOf()) == size; });
}

// Guards against a voter that stays out: one that was cut off, and removed meanwhile, joins again by itself.
BOOST_AUTO_TEST_CASE(vm_awayUntilRemovedThenBack_votesAgain)
{
    control_cluster returning(4, {.targetVoters = 15, .lostMemberLimit = std::chrono::milliseconds(500)});
    const auto votes = [&returning](vm_id vm) {
        returning.announceAll();
        return isVoter(returning.statusOf(returning.waitForLeader()).members, vm);
    };
    const std::vector<vm_id> all{returning.identityOf(0), returning.identityOf(1), returning.identityOf(2),
                                 returning.identityOf(3)};
    returning.waitUntil([&] { return std::ranges::all_of(all, votes); });
    const std::size_t away = returning.waitForLeader() == 3 ? 2 : 3;
    returning.stop(away);
    returning.waitUntil([&] { return !votes(all[away]); });
    returning.start(away);
    returning.waitUntil([&] { return votes(all[away]); });
    BOOST_TEST((returning.identityOf(away) == all[away]));
}

// Guards against a control VM that refuses reads and changes while it waits for a place, although there is a leader.
BOOST_AUTO_TEST_CASE(vm_waitsBesideAFullCluster_callersRedirectedToLiveVmsInTurn)
{
    control_cluster full(4, {.targetVoters = 3});
    full.waitUntil([&full] {
        full.announceAll();
        return voterCount(full.statusOf(full.waitForLeader()).members) == 3;
    });
    const membership members = full.statusOf(full.waitForLeader()).members;
    std::size_t waiting = 0;
    live_control_vms_changed seen;
    std::set<std::string> addresses;
    for (std::size_t vm = 0; vm < 4; ++vm) {
        if (isVoter(members, full.identityOf(vm))) {
            seen.vms.push_back(full.identityOf(vm));
            seen.addresses.push_back("10.0.0." + std::to_string(vm) + ":7560");
            addresses.insert(seen.addresses.back());
        } else {
            waiting = vm;
        }
    }
    full.inboxOf(waiting).post(seen);
    std::set<std::string> redirects;
    for (std::size_t call = 0; call < 3; ++call) {
        redirects.insert(full.statusOf(waiting).redirectAddress);
    }
    BOOST_TEST((redirects == addresses));
    const change_answer refused = full.submit(waiting, control_cluster::accountCreation(1, {0}));
    BOOST_CHECK(refused.code == result_code::NotLeader);
    BOOST_TEST(addresses.contains(refused.text));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
