#include "replication/replica_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace guavafront
{

namespace
{

using std::chrono::milliseconds;

} // namespace

BOOST_FIXTURE_TEST_SUITE(replica_test, replica_fixture)

BOOST_AUTO_TEST_CASE(vote_restartAfterSync_noSecondVoteInTheTerm)
{
    receive(2, 4, vote_request{false, {0}, {0}});
    BOOST_TEST(sent<vote_answer>().granted);
    BOOST_TEST(positionOf<write_vote>() < positionOf<sync_writes>());
    BOOST_TEST(positionOf<sync_writes>() < positionOf<send_message>());
    sync();
    restart();
    receive(3, 4, vote_request{false, {9}, {3}});
    BOOST_TEST(!sent<vote_answer>().granted);
    receive(2, 4, vote_request{false, {0}, {0}});
    BOOST_TEST(sent<vote_answer>().granted);
}

BOOST_AUTO_TEST_CASE(vote_candidateLacksRecords_refused)
{
    receive(2, 3, append_request{{0}, {0}, {0}, {record(1, 2), record(2, 3)}});
    now += milliseconds(5'000);
    receive(3, 5, vote_request{false, {9}, {2}});
    BOOST_TEST(!sent<vote_answer>().granted);
    receive(3, 6, vote_request{false, {1}, {3}});
    BOOST_TEST(!sent<vote_answer>().granted);
    receive(3, 7, vote_request{false, {2}, {3}});
    BOOST_TEST(sent<vote_answer>().granted);
}

BOOST_AUTO_TEST_CASE(vote_leaderHeardRecently_notDisturbed)
{
    receive(2, 3, append_request{{0}, {0}, {0}, {}});
    receive(3, 4, vote_request{true, {9}, {3}});
    BOOST_TEST(!sent<vote_answer>().granted);
    receive(3, 9, vote_request{false, {9}, {3}});
    BOOST_TEST(effects.size() == 1U);
    BOOST_CHECK(find<vote_refused>() != nullptr);
    BOOST_TEST(self.currentTerm.value == 3U);
}

BOOST_AUTO_TEST_CASE(preVote_isolatedForLong_termStays)
{
    for (int round = 0; round < 50; ++round) {
        now = self.electionDeadline;
        run(timer_fired{});
    }
    BOOST_TEST(self.currentTerm.value == 0U);
}

BOOST_AUTO_TEST_CASE(append_newRecords_answeredAfterSync)
{
    receive(2, 3, append_request{{0}, {0}, {0}, {record(1, 3)}});
    BOOST_TEST(positionOf<append_records>() < positionOf<sync_writes>());
    BOOST_TEST(positionOf<sync_writes>() < positionOf<send_message>());
    BOOST_TEST(sent<append_answer>().accepted);
}

BOOST_AUTO_TEST_CASE(append_conflictingSuffix_replaced)
{
    receive(2, 2, append_request{{0}, {0}, {1}, {record(1, 1), record(2, 1), record(3, 2)}});
    receive(3, 4, append_request{{2}, {1}, {2}, {record(3, 4)}});
    BOOST_TEST(find<remove_records>()->firstIndex.value == 3U);
    BOOST_TEST(lastTerm(self.log).value == 4U);
    BOOST_TEST(self.commitIndex.value == 2U);
}

BOOST_AUTO_TEST_CASE(append_gap_refusedWithHint)
{
    receive(2, 2, append_request{{0}, {0}, {0}, {record(1, 1)}});
    receive(2, 2, append_request{{9}, {2}, {9}, {record(10, 2)}});
    BOOST_TEST(!sent<append_answer>().accepted);
    BOOST_TEST(sent<append_answer>().matchIndex.value == 1U);
}

BOOST_AUTO_TEST_CASE(commit_ownSyncPending_notCounted)
{
    elect();
    confirmAll();
    run(command_proposed{1, std::vector<std::byte>(3)});
    const std::vector<replica_effect> proposed = effects;
    const log_index index = lastIndex(self.log);
    receive(2, self.currentTerm.value, append_answer{true, index});
    BOOST_CHECK(self.commitIndex < index);
    effects = proposed;
    sync();
    BOOST_CHECK(self.commitIndex == index);
}

BOOST_AUTO_TEST_CASE(commit_recordOfEarlierTerm_committedWithRecordOfOwnTerm)
{
    disk.log.records.push_back(record(1, 1));
    restart();
    elect();
    receive(2, self.currentTerm.value, append_answer{true, {1}});
    BOOST_TEST(self.commitIndex.value == 0U);
    receive(2, self.currentTerm.value, append_answer{true, {2}});
    BOOST_TEST(self.commitIndex.value == 2U);
}

BOOST_AUTO_TEST_CASE(leadershipConfirmedAt_quorumAnsweredOlderHeartbeat_timeOfThatHeartbeat)
{
    elect();
    BOOST_TEST(!leadershipConfirmedAt(self).has_value());
    now = self.heartbeatDue;
    const instant first = now;
    run(timer_fired{});
    const std::uint64_t round = self.heartbeatRound;
    now = self.heartbeatDue;
    run(timer_fired{});
    run(message_received{{{7}, {2}, {1}, self.currentTerm, round, append_answer{true, {1}}}});
    BOOST_REQUIRE(leadershipConfirmedAt(self).has_value());
    BOOST_CHECK(*leadershipConfirmedAt(self) == first);
    BOOST_TEST(confirmedHeartbeat(self)->round == round);
    confirmAll();
    BOOST_CHECK(*leadershipConfirmedAt(self) == now);
    BOOST_TEST(confirmedHeartbeat(self)->round == round + 1);
}

BOOST_AUTO_TEST_CASE(removal_fewerVotersThanTarget_quorumAtRisk)
{
    elect();
    confirmAll();
    run(removal_proposed{1, {3}});
    BOOST_REQUIRE(find<proposal_refused>() != nullptr);
    BOOST_CHECK(find<proposal_refused>()->code == result_code::QuorumAtRisk);
}

BOOST_AUTO_TEST_CASE(removal_otherVoterSilent_quorumAtRisk)
{
    options.targetVoters = 2;
    restart();
    elect();
    const log_index last = lastIndex(self.log);
    receive(2, self.currentTerm.value, append_answer{true, last});
    now += options.electionTimeout - milliseconds(1);
    receive(2, self.currentTerm.value, append_answer{true, last});
    now += milliseconds(2);
    run(removal_proposed{1, {2}});
    BOOST_CHECK(find<proposal_refused>()->code == result_code::QuorumAtRisk);
    run(removal_proposed{2, {3}});
    BOOST_TEST(find<proposal_appended>() != nullptr);
}

BOOST_AUTO_TEST_CASE(removal_voterAbsentBeyondLimit_removedWhileThreeRemain)
{
    electAmongFour();
    confirmAll();
    run(removal_proposed{1, {4}});
    // Voter 4 has been silent for less than absentVoterLimit and may return.
    BOOST_CHECK(find<proposal_refused>()->code == result_code::QuorumAtRisk);
    run(removal_proposed{1, {4}, true}); // Nor for lostMemberLimit.
    BOOST_CHECK(find<proposal_refused>()->code == result_code::QuorumAtRisk);
    for (duration silent{}; silent < options.absentVoterLimit; silent += milliseconds(200)) {
        now += milliseconds(200);
        confirmAll();
    }
    run(removal_proposed{2, {4}});
    BOOST_TEST(find<proposal_appended>() != nullptr);
    BOOST_TEST(findMember(self.members, {4}) == nullptr);
    sync();
    confirmAll();
    for (duration silent{}; silent < options.absentVoterLimit; silent += milliseconds(200)) {
        now += milliseconds(200);
        receive(2, self.currentTerm.value, append_answer{true, lastIndex(self.log)});
    }
    run(removal_proposed{3, {3}});
    // Fewer than minVoters voters would remain.
    BOOST_CHECK(find<proposal_refused>()->code == result_code::QuorumAtRisk);
}

BOOST_AUTO_TEST_CASE(removal_voterLost_removedAfterItsShorterLimit)
{
    electAmongFour();
    for (duration silent{}; silent <= options.lostMemberLimit; silent += milliseconds(200)) {
        confirmAll();
        now += milliseconds(200);
    }
    run(removal_proposed{1, {4}});
    BOOST_CHECK(find<proposal_refused>()->code == result_code::QuorumAtRisk);
    run(removal_proposed{2, {4}, true});
    BOOST_TEST(find<proposal_appended>() != nullptr);
    BOOST_TEST(findMember(self.members, {4}) == nullptr);
}

// Guards against a member that was replaced while it was cut off, and that is removed again each time it votes again.
BOOST_AUTO_TEST_CASE(member_replacedAndBack_votesAgain)
{
    electAmongFour();
    const auto runHeartbeats = [this](std::uint64_t answering) {
        for (int round = 0; round < 8; ++round) {
            now = self.heartbeatDue;
            run(timer_fired{});
            sync();
            confirmAll();
            receive(answering, self.currentTerm.value, append_answer{true, lastIndex(self.log)});
        }
    };
    runHeartbeats(4);
    run(learner_proposed{1, {5}, {4}});
    sync();
    runHeartbeats(5);
    BOOST_TEST(isVoter(self.members, {5}));
    BOOST_TEST(findMember(self.members, {4}) == nullptr);
    run(learner_proposed{2, {4}, {}});
    sync();
    runHeartbeats(4);
    BOOST_TEST(isVoter(self.members, {4}));
}

BOOST_AUTO_TEST_CASE(membership_earlierChangeUncommitted_refused)
{
    elect();
    run(learner_proposed{1, {4}, {}});
    BOOST_CHECK(find<proposal_refused>()->code == result_code::QuorumAtRisk);
    confirmAll();
    run(learner_proposed{2, {4}, {3}});
    BOOST_TEST(find<proposal_appended>() != nullptr);
    run(learner_proposed{3, {5}, {}});
    BOOST_CHECK(find<proposal_refused>()->code == result_code::QuorumAtRisk);
}

BOOST_AUTO_TEST_CASE(election_noLeaderHeardSinceStart_shortTimeout)
{
    BOOST_TEST((self.electionDeadline - now <= milliseconds(300)));
    now = self.electionDeadline;
    run(timer_fired{});
    BOOST_CHECK(self.role == replica_role::PreCandidate);
    // The next election has the short timeout too, as the other voters may start a moment later.
    BOOST_TEST((self.electionDeadline - now <= milliseconds(300)));
    receive(2, 1, append_request{{0}, {0}, {0}, {}});
    BOOST_CHECK(self.role == replica_role::Follower);
    BOOST_TEST((self.electionDeadline - now >= options.electionTimeout));
}

BOOST_AUTO_TEST_CASE(learner_emptyDisk_joinsFirstLeaderAndNeverCampaigns)
{
    disk = {};
    restart();
    receive(2, 3, append_request{{0}, {0}, {0}, {record(1, 3)}});
    BOOST_TEST(self.cluster.value == 7U);
    now = self.electionDeadline;
    run(timer_fired{});
    BOOST_CHECK(self.role == replica_role::Follower);
    run(message_received{{{8}, {2}, {1}, {9}, 0, append_request{}}});
    BOOST_TEST(effects.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
