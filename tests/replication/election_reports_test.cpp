#include <guavafront/coordination/replication/replica.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

namespace guavafront
{

namespace
{

constexpr auto vmIds = [](std::initializer_list<std::uint64_t> values) {
    std::vector<vm_id> ids;
    for (const std::uint64_t value : values) {
        ids.push_back({value});
    }
    return ids;
};

/// Replica 1 of five voters and learner 6, in term 3, whose log ends with record 2 of term 3.
struct election_reports_fixture {
    replica_options options{.self = {1}};
    instant now{std::chrono::seconds(100)};
    replica self;
    std::vector<replica_effect> effects; ///< Effects of the last step.

    election_reports_fixture()
    {
        stored_state disk{.cluster = {7}, .currentTerm = {3}, .votedFor = {}, .log = {}};
        for (std::uint64_t id = 1; id <= 6; ++id) {
            const voting_role role = id == 6 ? voting_role::Learner : voting_role::Voter;
            disk.log.snapshot.members.members.push_back({{id}, role, {}});
        }
        disk.log.records = {{{1}, {2}, no_op{}}, {{2}, {3}, no_op{}}};
        self = restore(options, disk, now, 5);
    }

    void run(const replica_event &event)
    {
        effects.clear();
        step(self, event, now, 5, effects);
        if (const auto *asked = find<sync_writes>()) {
            step(self, writes_synced{asked->sequence}, now, 5, effects);
        }
    }

    template<class body>
    void receive(std::uint64_t from, std::uint64_t inTerm, const body &content)
    {
        run(message_received{{{7}, {from}, {1}, {inTerm}, self.heartbeatRound, content}});
    }

    /// Runs the step at the election deadline: it ends the round under way, if any, and starts a pre-vote.
    void passDeadline()
    {
        now = self.electionDeadline;
        run(timer_fired{});
    }

    /// Lets a leader send its heartbeats in time, up to the end of the span.
    void sendHeartbeats(duration span)
    {
        const instant end = now + span;
        while (now < end) {
            now = std::min(end, self.heartbeatDue);
            run(timer_fired{});
        }
    }

    void hearLeader(std::uint64_t leader)
    {
        receive(leader, self.currentTerm.value, append_request{{2}, {3}, {0}, {}});
    }

    /// Makes replica 1 the leader of term 4; its first record there is record 3.
    void lead()
    {
        passDeadline();
        receive(2, 4, vote_answer{true, true});
        receive(3, 4, vote_answer{true, true});
        receive(2, 4, vote_answer{false, true});
        receive(3, 4, vote_answer{false, true});
        BOOST_REQUIRE(self.role == replica_role::Leader);
    }

    template<class effect_type>
    const effect_type *find() const
    {
        const auto found = std::ranges::find_if(
            effects, [](const replica_effect &effect) { return std::holds_alternative<effect_type>(effect); });
        return found == effects.end() ? nullptr : &std::get<effect_type>(*found);
    }

    /// Reported refusal of the last step.
    vote_refused refusal() const
    {
        BOOST_REQUIRE(find<vote_refused>() != nullptr);
        return *find<vote_refused>();
    }

    /// Reported failure of a round in the last step.
    election_failed failure() const
    {
        BOOST_REQUIRE(find<election_failed>() != nullptr);
        return *find<election_failed>();
    }

    bool answersGranted() const
    {
        BOOST_REQUIRE(find<send_message>() != nullptr);
        return std::get<vote_answer>(find<send_message>()->message.body).granted;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(election_reports_test, election_reports_fixture)

BOOST_AUTO_TEST_CASE(preVote_granted_noRefusalReported)
{
    receive(2, 4, vote_request{true, {2}, {3}});
    BOOST_TEST(answersGranted());
    BOOST_CHECK(find<vote_refused>() == nullptr);
}

BOOST_AUTO_TEST_CASE(preVote_leaderHeardLately_refusedForTheLeader)
{
    hearLeader(5);
    now += std::chrono::milliseconds(200);
    receive(2, 4, vote_request{true, {2}, {3}});
    BOOST_TEST(!answersGranted());
    BOOST_CHECK(refusal().reason == vote_refusal::LeaderKnown);
    BOOST_CHECK(refusal().preferred == vm_id{5});
    BOOST_CHECK(refusal().sinceLeader == std::chrono::milliseconds(200));
    BOOST_CHECK(refusal().candidate == vm_id{2});
    BOOST_TEST(refusal().preVote);
}

BOOST_AUTO_TEST_CASE(preVote_termNotAboveOwn_refusedForTheTerm)
{
    receive(2, 3, vote_request{true, {2}, {3}});
    BOOST_CHECK(refusal().reason == vote_refusal::TermNotHigher);
    BOOST_CHECK(refusal().inTerm == term{3});
    BOOST_CHECK(refusal().ownTerm == term{3});
}

BOOST_AUTO_TEST_CASE(preVote_logBehind_refusedWithBothEnds)
{
    receive(2, 4, vote_request{true, {9}, {2}});
    BOOST_TEST(!answersGranted());
    BOOST_CHECK(refusal().reason == vote_refusal::LogBehind);
    BOOST_CHECK((refusal().candidateLog == log_end{{9}, {2}}));
    BOOST_CHECK((refusal().ownLog == log_end{{2}, {3}}));
    BOOST_CHECK(refusal().preferred == vm_id{});
}

BOOST_AUTO_TEST_CASE(vote_takenByAnother_refusedWithThatCandidate)
{
    receive(2, 4, vote_request{false, {2}, {3}});
    receive(3, 4, vote_request{false, {2}, {3}});
    BOOST_TEST(!answersGranted());
    BOOST_CHECK(refusal().reason == vote_refusal::VoteTaken);
    BOOST_CHECK(refusal().preferred == vm_id{2});
    BOOST_TEST(!refusal().preVote);
}

BOOST_AUTO_TEST_CASE(vote_logBehind_refusedForTheLog)
{
    receive(2, 4, vote_request{false, {1}, {3}});
    BOOST_TEST(!answersGranted());
    BOOST_CHECK(refusal().reason == vote_refusal::LogBehind);
}

BOOST_AUTO_TEST_CASE(vote_termBelowOwn_reportedWithoutAnswer)
{
    receive(2, 2, vote_request{false, {2}, {3}});
    BOOST_CHECK(refusal().reason == vote_refusal::TermNotHigher);
    BOOST_TEST(effects.size() == 1U);
}

BOOST_AUTO_TEST_CASE(vote_leaderHeardLately_reportedWithoutAnswer)
{
    hearLeader(5);
    receive(2, 9, vote_request{false, {2}, {3}});
    BOOST_CHECK(refusal().reason == vote_refusal::LeaderKnown);
    BOOST_TEST(effects.size() == 1U);
}

BOOST_AUTO_TEST_CASE(preVote_fromAnotherCluster_reportedWithoutAnswer)
{
    run(message_received{{{8}, {2}, {1}, {4}, 0, vote_request{true, {2}, {3}}}});
    BOOST_CHECK(refusal().reason == vote_refusal::OtherCluster);
    BOOST_TEST(effects.size() == 1U);
}

BOOST_AUTO_TEST_CASE(preVote_forAnotherVm_nothingReported)
{
    run(message_received{{{7}, {2}, {9}, {4}, 0, vote_request{true, {2}, {3}}}});
    BOOST_TEST(effects.empty());
}

BOOST_AUTO_TEST_CASE(preVoteRound_firstDeadline_noRoundReported)
{
    passDeadline();
    BOOST_CHECK(self.role == replica_role::PreCandidate);
    BOOST_CHECK(find<election_failed>() == nullptr);
}

BOOST_AUTO_TEST_CASE(preVoteRound_noMajority_everyVoterReportedOnce)
{
    passDeadline();
    const instant asked = now;
    receive(2, 4, vote_answer{true, true});
    receive(3, 3, vote_answer{true, false});
    receive(3, 3, vote_answer{true, false});
    receive(6, 3, vote_answer{true, false}); // A learner doesn't count.
    passDeadline();
    BOOST_TEST(failure().preVote);
    BOOST_CHECK(failure().inTerm == term{3});
    BOOST_CHECK(failure().waited == now - asked);
    BOOST_CHECK(failure().granted == vmIds({1, 2}));
    BOOST_CHECK(failure().refused == vmIds({3}));
    BOOST_CHECK(failure().silent == vmIds({4, 5}));
}

BOOST_AUTO_TEST_CASE(preVoteRound_refusedInALowerTerm_countedAsRefused)
{
    passDeadline();
    receive(3, 2, vote_answer{true, false});
    passDeadline();
    BOOST_CHECK(failure().refused == vmIds({3}));
}

BOOST_AUTO_TEST_CASE(preVoteRound_second_answersOfTheFirstForgotten)
{
    passDeadline();
    receive(2, 4, vote_answer{true, true});
    receive(3, 3, vote_answer{true, false});
    passDeadline();
    passDeadline();
    BOOST_CHECK(failure().granted == vmIds({1}));
    BOOST_CHECK(failure().refused.empty());
    BOOST_CHECK(failure().silent == vmIds({2, 3, 4, 5}));
}

BOOST_AUTO_TEST_CASE(preVoteRound_leaderHeard_noRoundReported)
{
    passDeadline();
    hearLeader(5);
    BOOST_CHECK(find<election_failed>() == nullptr);
    passDeadline();
    BOOST_CHECK(find<election_failed>() == nullptr);
}

BOOST_AUTO_TEST_CASE(voteRound_noMajority_reportedAsVote)
{
    passDeadline();
    receive(2, 4, vote_answer{true, true});
    receive(3, 4, vote_answer{true, true});
    BOOST_REQUIRE(self.role == replica_role::Candidate);
    receive(2, 4, vote_answer{false, true});
    receive(4, 4, vote_answer{false, false});
    receive(5, 3, vote_answer{true, false}); // Late, of the pre-vote.
    passDeadline();
    BOOST_TEST(!failure().preVote);
    BOOST_CHECK(failure().inTerm == term{4});
    BOOST_CHECK(failure().granted == vmIds({1, 2}));
    BOOST_CHECK(failure().refused == vmIds({4}));
    BOOST_CHECK(failure().silent == vmIds({3, 5}));
}

BOOST_AUTO_TEST_CASE(leader_noQuorumAnswers_silentVotersReported)
{
    lead();
    sendHeartbeats(options.electionTimeout / 2);
    receive(3, 4, append_answer{true, {2}});
    sendHeartbeats(options.electionTimeout / 2);
    BOOST_CHECK(self.role == replica_role::Follower);
    BOOST_REQUIRE(find<quorum_lost>() != nullptr);
    BOOST_CHECK(find<quorum_lost>()->inTerm == term{4});
    BOOST_CHECK(find<quorum_lost>()->answered == vmIds({1, 3}));
    // Each was sent the leader's first record, of 64 bytes as estimated.
    const duration silence = options.electionTimeout;
    const std::vector<silent_voter> silent{{{2}, silence, {1, 64}}, {{4}, silence, {1, 64}}, {{5}, silence, {1, 64}}};
    BOOST_CHECK(find<quorum_lost>()->silent == silent);
}

BOOST_AUTO_TEST_CASE(leader_votersConfirmedDifferently_whatIsUnderWayCounted)
{
    lead();
    receive(2, 4, append_answer{true, {3}});
    run(command_proposed{1, std::vector<std::byte>(100)});
    receive(4, 4, append_answer{true, {4}});
    sendHeartbeats(options.electionTimeout / 2);
    receive(3, 4, append_answer{true, {3}});
    sendHeartbeats(options.electionTimeout / 2);
    BOOST_REQUIRE(find<quorum_lost>() != nullptr);
    const duration silence = options.electionTimeout;
    const std::vector<silent_voter> silent{
        {{2}, silence, {1, 164}}, {{4}, silence, {0, 0}}, {{5}, silence, {2, 64 + 164}}};
    BOOST_CHECK(find<quorum_lost>()->answered == vmIds({1, 3}));
    BOOST_CHECK(find<quorum_lost>()->silent == silent);
}

// Guards against a voter that waits for a snapshot and is reported as if nothing were under way to it.
BOOST_AUTO_TEST_CASE(leader_snapshotUnderWay_itsChunkCounted)
{
    lead();
    self.log.snapshot.state.resize(options.maxMessageBytes + 1'000);
    self.log.snapshot.index = {2};
    self.log.snapshot.indexTerm = {3};
    compactTo(self.log, {2});
    receive(2, 4, append_answer{false, {0}});
    BOOST_REQUIRE(find<send_message>() != nullptr);
    BOOST_REQUIRE(std::holds_alternative<snapshot_chunk>(find<send_message>()->message.body));
    receive(5, 4, append_answer{false, {0}});
    receive(5, 4, snapshot_answer{{2}, options.maxMessageBytes});
    sendHeartbeats(options.electionTimeout);
    BOOST_REQUIRE(find<quorum_lost>() != nullptr);
    const duration silence = options.electionTimeout;
    const std::vector<silent_voter> silent{{{2}, silence, {0, options.maxMessageBytes}},
                                           {{3}, silence, {1, 64}},
                                           {{4}, silence, {1, 64}},
                                           {{5}, silence, {0, 1'000}}};
    BOOST_CHECK(find<quorum_lost>()->silent == silent);
}

BOOST_AUTO_TEST_CASE(follower_leaderSilent_lossReportedOnce)
{
    hearLeader(5);
    const instant heard = now;
    passDeadline();
    BOOST_REQUIRE(find<leader_lost>() != nullptr);
    BOOST_CHECK((*find<leader_lost>() == leader_lost{{5}, {3}, now - heard}));
    passDeadline();
    BOOST_REQUIRE(find<election_failed>() != nullptr);
    BOOST_CHECK(find<leader_lost>() == nullptr);
}

BOOST_AUTO_TEST_CASE(follower_leaderHeardAgain_nextLossReported)
{
    hearLeader(5);
    passDeadline();
    hearLeader(4);
    BOOST_CHECK(find<leader_lost>() == nullptr);
    const instant heard = now;
    passDeadline();
    BOOST_REQUIRE(find<leader_lost>() != nullptr);
    BOOST_CHECK((*find<leader_lost>() == leader_lost{{4}, {3}, now - heard}));
}

BOOST_AUTO_TEST_CASE(follower_noLeaderSinceItsStart_noLossReported)
{
    passDeadline();
    BOOST_CHECK(self.role == replica_role::PreCandidate);
    BOOST_CHECK(find<leader_lost>() == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
