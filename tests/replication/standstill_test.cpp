#include "replication/replica_fixture.h"

#include <boost/test/unit_test.hpp>

#include <cstddef>
#include <vector>

namespace guavafront
{

BOOST_FIXTURE_TEST_SUITE(standstill_test, replica_fixture)

BOOST_AUTO_TEST_CASE(leader_resumedAfterElectionTimeout_refusesChangesAndStepsDownUnlessAnswered)
{
    elect();
    confirmAll();
    now += options.electionTimeout;
    run(command_proposed{1, std::vector<std::byte>(3)});
    BOOST_CHECK(find<proposal_refused>()->code == result_code::NotLeader);
    BOOST_TEST(find<send_message>() == nullptr);
    BOOST_TEST(!isCurrent(self, now));
    const log_index last = lastIndex(self.log);
    for (const instant end = now + options.electionTimeout; now < end; now += options.heartbeatInterval) {
        run(timer_fired{});
        run(command_proposed{2, std::vector<std::byte>(3)});
        BOOST_CHECK(find<proposal_refused>()->code == result_code::NotLeader);
        BOOST_TEST(!isCurrent(self, now));
    }
    run(timer_fired{});
    BOOST_CHECK(self.role == replica_role::Follower);
    BOOST_CHECK(lastIndex(self.log) == last);
}

// Guards against leaders that give up at their own standstill, before they read the answers that wait.
BOOST_AUTO_TEST_CASE(leader_resumedAfterElectionTimeoutAndAnswered_stillLeads)
{
    elect();
    confirmAll();
    const term led = self.currentTerm;
    now += options.electionTimeout * 2;
    run(timer_fired{});
    now += options.heartbeatInterval;
    confirmAll();
    BOOST_CHECK(self.role == replica_role::Leader);
    BOOST_CHECK(self.currentTerm == led);
    BOOST_TEST(isCurrent(self, now));
    run(command_proposed{1, std::vector<std::byte>(3)});
    BOOST_TEST(find<proposal_refused>() == nullptr);
}

BOOST_AUTO_TEST_CASE(leader_standsStillAgainAndAgainUnanswered_stepsDown)
{
    elect();
    confirmAll();
    const duration standstill = options.electionTimeout / 2;
    for (int turn = 0; turn < 5; ++turn) {
        now += standstill;
        run(timer_fired{});
    }
    BOOST_CHECK(self.role == replica_role::Follower);
}

// Guards against elections that start from a late timer, before the leader's waiting messages are read.
BOOST_AUTO_TEST_CASE(follower_resumedAfterItsDeadline_readsTheLeaderBeforeAnElection)
{
    receive(2, 1, append_request{{0}, {0}, {0}, {}});
    now = self.electionDeadline + options.heldUpLimit;
    run(timer_fired{});
    BOOST_CHECK(self.role == replica_role::Follower);
    BOOST_CHECK(self.leader == vm_id{2});
    receive(2, 1, append_request{{0}, {0}, {0}, {}});
    BOOST_TEST(isCurrent(self, now));
}

BOOST_AUTO_TEST_CASE(follower_resumedAfterItsDeadlineWithoutALeader_startsTheElectionSoon)
{
    receive(2, 1, append_request{{0}, {0}, {0}, {}});
    now = self.electionDeadline + options.heldUpLimit;
    run(timer_fired{});
    BOOST_CHECK(self.electionDeadline <= now + options.heartbeatInterval * 2);
    now = self.electionDeadline + options.heldUpLimit;
    run(timer_fired{});
    BOOST_CHECK(self.role == replica_role::PreCandidate);
}

BOOST_AUTO_TEST_CASE(leader_heardAfterItWasGivenUp_nextOnesHaveMoreTime)
{
    receive(2, 1, append_request{{0}, {0}, {0}, {}});
    BOOST_CHECK(leaderTimeout(self, now) == options.electionTimeout);
    receive(3, 2, append_request{{0}, {0}, {0}, {}});
    receive(2, 1, append_request{{0}, {0}, {0}, {}});
    BOOST_CHECK(leaderTimeout(self, now) > options.electionTimeout);
    BOOST_CHECK(leaderTimeout(self, now + options.patienceTime) == options.electionTimeout);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
