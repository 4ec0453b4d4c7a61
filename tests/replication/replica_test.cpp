#include <guavafront/coordination/replication/replica.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace guavafront
{

namespace
{

using std::chrono::milliseconds;

/// Replica 1 of the voters 1, 2 and 3; the tests feed it events and inspect its effects.
struct replica_fixture {
    replica_options options{.self = {1}};
    stored_state disk; ///< State of the disk from which replica 1 starts.
    instant now{std::chrono::seconds(100)};
    replica self;
    std::vector<replica_effect> effects; ///< Effects of the last step.

    replica_fixture()
    {
        disk.cluster = {7};
        for (std::uint64_t id = 1; id <= 3; ++id) {
            disk.log.snapshot.members.members.push_back({{id}, voting_role::Voter, {}});
        }
        restart();
    }

    void restart()
    {
        self = restore(options, disk, now, 5);
    }

    void run(const replica_event &event)
    {
        effects.clear();
        step(self, event, now, 5, effects);
    }

    template<class body>
    void receive(std::uint64_t from, std::uint64_t inTerm, const body &content)
    {
        run(message_received{{{7}, {from}, {1}, {inTerm}, self.heartbeatRound, content}});
    }

    /// Performs the writes of the last step on the disk and reports the sync.
    void sync()
    {
        std::uint64_t sequence = 0;
        for (const replica_effect &effect : effects) {
            std::visit(
                [this](const auto &write) {
                    if constexpr (requires { applyWrite(disk, write); }) {
                        applyWrite(disk, write);
                    }
                },
                effect);
            if (const auto *asked = std::get_if<sync_writes>(&effect)) {
                sequence = asked->sequence;
            }
        }
        run(writes_synced{sequence});
    }

    /// Makes replica 1 the leader of the next term by the vote of replica 2. The no-op record of the term isn't
    /// committed yet.
    void elect()
    {
        now = self.electionDeadline;
        run(timer_fired{});
        receive(2, self.currentTerm.value + 1, vote_answer{true, true});
        sync();
        receive(2, self.currentTerm.value, vote_answer{false, true});
        sync();
        BOOST_REQUIRE(self.role == replica_role::Leader);
    }

    /// Adds voter 4 and makes replica 1 the leader by the votes of replicas 2 and 3.
    void electAmongFour()
    {
        disk.log.snapshot.members.members.push_back({{4}, voting_role::Voter, {}});
        options.targetVoters = 15; // More than there are members, so that all vote.
        restart();
        now = self.electionDeadline;
        run(timer_fired{});
        receive(2, self.currentTerm.value + 1, vote_answer{true, true});
        receive(3, self.currentTerm.value + 1, vote_answer{true, true});
        sync();
        receive(2, self.currentTerm.value, vote_answer{false, true});
        receive(3, self.currentTerm.value, vote_answer{false, true});
        sync();
    }

    /// Delivers answers of replicas 2 and 3 that confirm the whole log.
    void confirmAll()
    {
        const log_index last = lastIndex(self.log);
        receive(2, self.currentTerm.value, append_answer{true, last});
        receive(3, self.currentTerm.value, append_answer{true, last});
    }

    /// Returns the position of the first effect of a type, or the number of effects when there is none.
    template<class effect_type>
    std::size_t positionOf() const
    {
        const auto found = std::ranges::find_if(
            effects, [](const replica_effect &effect) { return std::holds_alternative<effect_type>(effect); });
        return static_cast<std::size_t>(found - effects.begin());
    }

    template<class effect_type>
    const effect_type *find() const
    {
        const std::size_t position = positionOf<effect_type>();
        return position == effects.size() ? nullptr : &std::get<effect_type>(effects[position]);
    }

    /// Returns the body of the first message that the last step sent.
    template<class body>
    body sent() const
    {
        BOOST_REQUIRE(find<send_message>() != nullptr);
        return std::get<body>(find<send_message>()->message.body);
    }

    static log_record record(std::uint64_t index, std::uint64_t inTerm)
    {
        return {{index}, {inTerm}, no_op{}};
    }
};

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
    confirmAll();
    BOOST_CHECK(*leadershipConfirmedAt(self) == now);
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
