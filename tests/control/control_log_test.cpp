#include "daemon/control/control_log.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <unordered_map>
#include <vector>

namespace guavafront
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Log of VM 0xa, one of the voters 0xa to 0xd, in term 2 without a leader since the start.
struct control_log_fixture {
    instant start{seconds(100)};
    control_log log = startControlLog(start);
    replica self;
    std::unordered_map<vm_id, std::string> addresses; ///< Known addresses; none at first.
    election_failed failed{.preVote = true,
                           .inTerm = {2},
                           .granted = {{0xa}, {0xb}},
                           .refused = {{0xc}},
                           .silent = {{0xd}}};
    quorum_lost lost{.inTerm = {2},
                     .answered = {{0xa}, {0xb}},
                     .silent = {{{0xc}, milliseconds(800), {3, 81920}}, {{0xd}, milliseconds(1'500), {}}}};
    vote_refused refused{.reason = vote_refusal::LogBehind,
                         .preVote = true,
                         .candidate = {0xb},
                         .inTerm = {3},
                         .ownTerm = {2},
                         .candidateLog = {{12}, {1}},
                         .ownLog = {{15}, {2}}};

    control_log_fixture()
    {
        self.options.self = {0xa};
        self.cluster = {7};
        self.currentTerm = {2};
        for (std::uint64_t id = 0xa; id <= 0xd; ++id) {
            self.members = withMember(self.members, {{id}, voting_role::Voter, {}});
        }
    }

    /// Returns what VM 0xa knows of the others; live must outlive the view.
    control_vms_view viewOf(const std::vector<vm_id> &live) const
    {
        return {live, addresses};
    }

    /// Makes the address of a VM known.
    void learnAddress(std::uint64_t vm)
    {
        addresses[{vm}] = "10.1.0." + std::to_string(vm) + ":7500";
    }

    /// Notes that VM 0xb leads and was heard at a time.
    std::optional<std::string> hearLeader(instant at)
    {
        self.leader = {0xb};
        self.lastLeaderContact = at;
        return noteLeader(log, self, viewOf({}), at);
    }

    std::optional<std::string> refusalAt(instant at)
    {
        return refusalLine(log, self, refused, viewOf({}), at);
    }

    std::optional<std::string> roundAt(instant at, const std::vector<vm_id> &live = {})
    {
        return failedRoundLine(log, self, failed, viewOf(live), at);
    }

    std::optional<std::string> outsideAt(instant at, const std::vector<vm_id> &live = {})
    {
        return outsideLine(log, self, viewOf(live), at);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(control_log_test, control_log_fixture)

BOOST_AUTO_TEST_CASE(failedRound_first_saysWhoCountsAndWhoAnswered)
{
    BOOST_TEST(roundAt(start + milliseconds(3'200), {{0xd}}).value()
               == "no leader for 3.2 s in term 2: quorum of 3 among voters a b c d; pre-vote granted by a (this VM) b; "
                  "refused by c; no answer from d (live)");
}

BOOST_AUTO_TEST_CASE(failedRound_addressesKnown_besideMarks)
{
    learnAddress(0xb);
    learnAddress(0xc);
    learnAddress(0xd);
    BOOST_TEST(roundAt(start, {{0xd}}).value()
               == "no leader for 0.0 s in term 2: quorum of 3 among voters a b c d; pre-vote granted by a (this VM) b "
                  "(10.1.0.11:7500); refused by c (10.1.0.12:7500); no answer from d (10.1.0.13:7500, live)");
}

BOOST_AUTO_TEST_CASE(failedRound_nobodyRefusedOrSilent_partsLeftOut)
{
    failed.refused.clear();
    failed.silent.clear();
    failed.preVote = false;
    BOOST_TEST(roundAt(start).value()
               == "no leader for 0.0 s in term 2: quorum of 3 among voters a b c d; vote granted by a (this VM) b");
}

BOOST_AUTO_TEST_CASE(failedRound_again_oneLineInTwoSeconds)
{
    BOOST_CHECK(roundAt(start).has_value());
    BOOST_CHECK(!roundAt(start + milliseconds(1'999)).has_value());
    BOOST_CHECK(roundAt(start + seconds(2)).has_value());
}

BOOST_AUTO_TEST_CASE(failedRound_leaderKnownInBetween_loggedAtOnce)
{
    BOOST_CHECK(roundAt(start).has_value());
    hearLeader(start + milliseconds(100));
    BOOST_CHECK(roundAt(start + milliseconds(800)).has_value());
}

BOOST_AUTO_TEST_CASE(leader_knownAgain_absenceSinceItsLastMessage)
{
    hearLeader(start);
    noteLeader(log, self, viewOf({}), start + seconds(3));
    BOOST_CHECK(timeWithoutLeader(log, start + seconds(4)) == seconds(4));
    BOOST_TEST(hearLeader(start + seconds(5)).value() == "VM b leads term 2; no leader was known for 5.0 s");
    BOOST_CHECK(timeWithoutLeader(log, start + seconds(5)) == duration(0));
    BOOST_CHECK(!hearLeader(start + milliseconds(5'100)).has_value());
}

BOOST_AUTO_TEST_CASE(leader_addressKnown_besideItsIdentity)
{
    learnAddress(0xb);
    BOOST_TEST(hearLeader(start).value() == "VM b (10.1.0.11:7500) leads term 2; no leader was known for 0.0 s");
}

BOOST_AUTO_TEST_CASE(leader_thisVm_marked)
{
    self.members = withMember({}, {{0xa}, voting_role::Voter, {}});
    self.role = replica_role::Leader;
    self.leader = {0xa};
    BOOST_TEST(noteLeader(log, self, viewOf({}), start + seconds(1)).value()
               == "VM a (this VM) leads term 2; no leader was known for 1.0 s");
}

BOOST_AUTO_TEST_CASE(refusal_logBehind_saysBothEnds)
{
    BOOST_TEST(refusalAt(start).value()
               == "refused pre-vote of VM b in term 3: its log is behind (last 12 in term 1, own 15 in term 2)");
}

BOOST_AUTO_TEST_CASE(refusal_otherReasons_saidByName)
{
    refused.sinceLeader = milliseconds(200);
    refused.reason = vote_refusal::LeaderKnown;
    refused.preferred = {0xd};
    BOOST_TEST(refusalAt(start).value() == "refused pre-vote of VM b in term 3: VM d leads term 2, heard 0.2 s ago");
    refused.preVote = false;
    refused.preferred = {0xa};
    BOOST_TEST(refusalAt(start).value() == "refused vote of VM b in term 3: this VM leads term 2");
    refused.reason = vote_refusal::VoteTaken;
    BOOST_TEST(refusalAt(start).value() == "refused vote of VM b in term 3: the vote went to VM a (this VM)");
    refused.reason = vote_refusal::TermNotHigher;
    BOOST_TEST(refusalAt(start).value() == "refused vote of VM b in term 3: its term is too low (own 2)");
    refused.reason = vote_refusal::OtherCluster;
    BOOST_TEST(refusalAt(start).value() == "refused vote of VM b in term 3: it is of another cluster");
}

BOOST_AUTO_TEST_CASE(refusal_addressesKnown_besideCandidateLeaderAndVote)
{
    learnAddress(0xb);
    learnAddress(0xd);
    refused.sinceLeader = milliseconds(200);
    refused.reason = vote_refusal::LeaderKnown;
    refused.preferred = {0xd};
    BOOST_TEST(refusalAt(start).value()
               == "refused pre-vote of VM b (10.1.0.11:7500) in term 3: VM d (10.1.0.13:7500) leads term 2, heard "
                  "0.2 s ago");
    refused.preVote = false;
    refused.reason = vote_refusal::VoteTaken;
    BOOST_TEST(refusalAt(start).value()
               == "refused vote of VM b (10.1.0.11:7500) in term 3: the vote went to VM d (10.1.0.13:7500)");
}

BOOST_AUTO_TEST_CASE(refusal_same_oneLineInTwoSeconds)
{
    BOOST_CHECK(refusalAt(start).has_value());
    BOOST_CHECK(!refusalAt(start + milliseconds(1'999)).has_value());
    BOOST_CHECK(refusalAt(start + seconds(2)).has_value());
}

BOOST_AUTO_TEST_CASE(refusal_otherCandidateOrReason_loggedAtOnce)
{
    BOOST_CHECK(refusalAt(start).has_value());
    refused.candidate = {0xc};
    BOOST_CHECK(refusalAt(start).has_value());
    refused.reason = vote_refusal::TermNotHigher;
    BOOST_CHECK(refusalAt(start).has_value());
}

BOOST_AUTO_TEST_CASE(refusal_manyCandidates_forgottenAfterTheInterval)
{
    for (std::uint64_t id = 1; id <= 100; ++id) {
        refused.candidate = {id};
        refusalAt(start);
    }
    refusalAt(start + seconds(2));
    BOOST_TEST(log.nextRefusalLines.size() == 1U);
}

BOOST_AUTO_TEST_CASE(quorumLost_readsWaiting_saysWhoWasSilent)
{
    const std::vector<vm_id> live{{0xc}};
    BOOST_TEST(lostQuorumLine(self, lost, viewOf(live), 1)
               == "gave up leading term 2: quorum of 3 among voters a b c d; answered by a (this VM) b; no answer from "
                  "c (live; 0.8 s, 3 records of 81920 bytes under way) d (1.5 s, nothing under way); 1 read not "
                  "confirmed");
}

BOOST_AUTO_TEST_CASE(quorumLost_addressesKnown_besideMarksAndFigures)
{
    learnAddress(0xb);
    learnAddress(0xc);
    learnAddress(0xd);
    lost.silent[1].underWay = {1, 64};
    const std::vector<vm_id> live{{0xc}};
    BOOST_TEST(lostQuorumLine(self, lost, viewOf(live), 0)
               == "gave up leading term 2: quorum of 3 among voters a b c d; answered by a (this VM) b "
                  "(10.1.0.11:7500); no answer from c (10.1.0.12:7500, live; 0.8 s, 3 records of 81920 bytes under "
                  "way) d (10.1.0.13:7500; 1.5 s, 1 record of 64 bytes under way); 0 reads not confirmed");
}

// Guards against a voter that is sent a snapshot and is logged as if it were sent nothing.
BOOST_AUTO_TEST_CASE(quorumLost_snapshotUnderWay_saidWithItsBytes)
{
    lost.silent = {{{0xc}, seconds(2), {0, 4096}}};
    BOOST_TEST(lostQuorumLine(self, lost, viewOf({}), 0)
               == "gave up leading term 2: quorum of 3 among voters a b c d; answered by a (this VM) b; no answer from "
                  "c (2.0 s, 4096 bytes of a snapshot under way); 0 reads not confirmed");
}

BOOST_AUTO_TEST_CASE(quorumLost_nobodySilent_partLeftOut)
{
    lost.silent.clear();
    BOOST_TEST(lostQuorumLine(self, lost, viewOf({}), 0)
               == "gave up leading term 2: quorum of 3 among voters a b c d; answered by a (this VM) b; 0 reads not "
                  "confirmed");
}

BOOST_AUTO_TEST_CASE(leader_lost_saysWhoAndForHowLongItWasSilent)
{
    const leader_lost lostLeader{{0xb}, {2}, milliseconds(840)};
    BOOST_TEST(lostLeaderLine(self, lostLeader, viewOf({})) == "lost the leader of term 2, VM b, heard 0.8 s ago");
    learnAddress(0xb);
    BOOST_TEST(lostLeaderLine(self, lostLeader, viewOf({}))
               == "lost the leader of term 2, VM b (10.1.0.11:7500), heard 0.8 s ago");
}

BOOST_AUTO_TEST_CASE(members_someAddressesKnown_besideTheirIdentities)
{
    self.members = withMember(self.members, {{0xd}, voting_role::Learner, {}});
    learnAddress(0xb);
    learnAddress(0xd);
    BOOST_TEST(membersLine(self, viewOf({}))
               == "quorum of 2 among voter a (this VM) voter b (10.1.0.11:7500) voter c learner d (10.1.0.13:7500)");
}

BOOST_AUTO_TEST_CASE(unconfirmedReads_membersSilent_namedWithTheirSilence)
{
    self.peers = {{.id = {0xb}, .lastContact = start}, {.id = {0xc}, .lastContact = start - seconds(3)}};
    BOOST_TEST(unconfirmedReadsLine(log, self, viewOf({}), 2, milliseconds(800), start).value()
               == "2 reads not confirmed within 0.8 s in term 2: quorum of 3 among voters a b c d; no answer lately "
                  "from c (3.0 s)");
    BOOST_CHECK(!unconfirmedReadsLine(log, self, viewOf({}), 2, milliseconds(800), start + seconds(1)).has_value());
}

BOOST_AUTO_TEST_CASE(unconfirmedReads_addressKnown_besideTheSilence)
{
    self.peers = {{.id = {0xc}, .lastContact = start - seconds(3)}, {.id = {0xd}, .lastContact = start - seconds(4)}};
    learnAddress(0xc);
    BOOST_TEST(unconfirmedReadsLine(log, self, viewOf({}), 1, milliseconds(800), start).value()
               == "1 read not confirmed within 0.8 s in term 2: quorum of 3 among voters a b c d; no answer lately "
                  "from c (10.1.0.12:7500; 3.0 s) d (4.0 s)");
}

BOOST_AUTO_TEST_CASE(unconfirmedReads_firstRecordUncommitted_saysSo)
{
    self.role = replica_role::Leader;
    self.termStartIndex = {16};
    BOOST_TEST(unconfirmedReadsLine(log, self, viewOf({}), 1, milliseconds(800), start).value()
               == "1 read not confirmed within 0.8 s in term 2: quorum of 3 among voters a b c d; all members answered "
                  "lately; record 16, the first of the term, isn't committed");
}

BOOST_AUTO_TEST_CASE(unconfirmedReads_none_nothingLogged)
{
    BOOST_CHECK(!unconfirmedReadsLine(log, self, viewOf({}), 0, milliseconds(800), start).has_value());
}

BOOST_AUTO_TEST_CASE(outside_voter_nothingLogged)
{
    BOOST_CHECK(!outsideAt(start + seconds(90)).has_value());
}

BOOST_AUTO_TEST_CASE(outside_notAMember_loggedAfterFiveSecondsThenOnceAMinute)
{
    self.options.self = {0xe};
    BOOST_CHECK(!outsideAt(start).has_value());
    BOOST_CHECK(!outsideAt(start + milliseconds(4'999)).has_value());
    BOOST_TEST(outsideAt(start + seconds(5), {{0xb}}).value()
               == "this VM waits for a place for 5.0 s: no leader has spoken to it; its log has 4 members, quorum of 3 "
                  "among voters a b c d; live control VMs b");
    BOOST_CHECK(!outsideAt(start + milliseconds(64'999), {{0xb}}).has_value());
    BOOST_CHECK(outsideAt(start + seconds(65), {{0xb}}).has_value());
}

BOOST_AUTO_TEST_CASE(outside_addressesKnown_besideLeaderAndLiveVms)
{
    self.options.self = {0xe};
    learnAddress(0xb);
    hearLeader(start);
    outsideAt(start);
    BOOST_TEST(outsideAt(start + seconds(5), {{0xb}, {0xc}}).value()
               == "this VM waits for a place for 5.0 s: VM b (10.1.0.11:7500) leads; its log has 4 members, quorum of "
                  "3 among voters a b c d; live control VMs b (10.1.0.11:7500) c");
}

BOOST_AUTO_TEST_CASE(outside_liveVmsChange_loggedAgainAfterTwoSeconds)
{
    self.options.self = {0xe};
    outsideAt(start);
    BOOST_CHECK(outsideAt(start + seconds(5)).has_value());
    BOOST_CHECK(!outsideAt(start + milliseconds(6'999), {{0xb}}).has_value());
    BOOST_CHECK(outsideAt(start + seconds(7), {{0xb}}).has_value());
}

BOOST_AUTO_TEST_CASE(outside_learner_loggedOnlyWithoutLeader)
{
    self.members = withMember(self.members, {{0xa}, voting_role::Learner, {}});
    hearLeader(start);
    BOOST_CHECK(!outsideAt(start).has_value());
    log.leaderKnown = false;
    outsideAt(start + seconds(1));
    BOOST_TEST(outsideAt(start + seconds(6)).value().starts_with("this VM is a learner without a leader for 5.0 s: "));
}

BOOST_AUTO_TEST_CASE(outside_becameVoter_waitForgotten)
{
    self.options.self = {0xe};
    outsideAt(start);
    self.members = withMember(self.members, {{0xe}, voting_role::Voter, {}});
    BOOST_CHECK(!outsideAt(start + seconds(9)).has_value());
    BOOST_CHECK(!log.outsideSince.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
