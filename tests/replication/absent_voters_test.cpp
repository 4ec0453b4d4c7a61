#include <guavafront/coordination/replication/absent_voters.h>

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

/// A leader with identity 1 among the voters 1 to 4, of which 4 is no longer live. VM 9 is not a member and has the
/// address of voter 4.
struct absent_voters_fixture {
    replica self;
    std::vector<vm_id> live{{2}, {3}, {9}};
    std::unordered_map<vm_id, std::string> addresses{{{2}, "10.0.0.2:7000"},
                                                     {{3}, "10.0.0.3:7000"},
                                                     {{4}, "10.0.0.4:7000"},
                                                     {{9}, "10.0.0.4:7000"}};
    instant now{100s};

    absent_voters_fixture()
    {
        self.options.self = {1};
        self.role = replica_role::Leader;
        for (std::uint64_t id = 1; id <= 4; ++id) {
            self.members.members.push_back({{id}, voting_role::Voter, {}});
            if (id > 1) {
                self.peers.push_back({.id = {id}, .lastContact = now});
            }
        }
    }

    void addLiveVoter(std::uint64_t id)
    {
        self.members.members.push_back({{id}, voting_role::Voter, {}});
        self.peers.push_back({.id = {id}, .lastContact = now});
        live.push_back({id});
    }

    control_vms_view view() const
    {
        return {live, addresses};
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(absent_voters_test, absent_voters_fixture)

BOOST_AUTO_TEST_CASE(joiningVm_atAddressOfMemberThatIsNotLive_replacesIt)
{
    BOOST_TEST((memberToReplace(self, view(), {9}) == vm_id{4}));
    live.push_back({4}); // While two live VMs have the same address, neither is replaced.
    BOOST_TEST((memberToReplace(self, view(), {9}) == vm_id{}));
}

BOOST_AUTO_TEST_CASE(joiningVm_atAnotherAddress_replacesNoMember)
{
    addresses[{9}] = "10.0.0.9:7000";
    BOOST_TEST((memberToReplace(self, view(), {9}) == vm_id{}));
}

// Guards against a full cluster that leaves a control VM out, whose former identity has an address that this leader has
// never seen.
BOOST_AUTO_TEST_CASE(waitingVm_fullClusterWithALostVoter_takesItsPlace)
{
    addresses.clear();
    self.options.targetVoters = 4;
    BOOST_TEST(!vmToAdmit(self, view(), now).has_value());
    now += self.options.lostMemberLimit;
    self.peers[0].lastContact = self.peers[1].lastContact = now;
    BOOST_TEST((vmToAdmit(self, view(), now) == admission{{9}, {4}}));
    live.push_back({4}); // A member that is live again keeps its place.
    BOOST_TEST(!vmToAdmit(self, view(), now).has_value());
}

BOOST_AUTO_TEST_CASE(waitingVm_severalLostVoters_takesThePlaceOfTheLongestSilent)
{
    addresses.clear();
    addLiveVoter(5);
    self.options.targetVoters = 5;
    std::erase(live, vm_id{3});
    self.peers[2].lastContact = now - 1s; // Voter 4.
    now += self.options.lostMemberLimit;
    self.peers[0].lastContact = self.peers[3].lastContact = now; // Voters 2 and 5.
    BOOST_TEST((vmToAdmit(self, view(), now) == admission{{9}, {4}}));
}

BOOST_AUTO_TEST_CASE(waitingVm_lostVoterIsBeingReplaced_waitsOn)
{
    addresses.clear();
    self.options.targetVoters = 4;
    now += self.options.lostMemberLimit;
    self.peers[0].lastContact = self.peers[1].lastContact = now;
    self.members = withMember(self.members, {{8}, voting_role::Learner, {4}});
    BOOST_TEST(!vmToAdmit(self, view(), now).has_value());
}

BOOST_AUTO_TEST_CASE(waitingVm_clusterWithVacancy_joinsAtOnce)
{
    addresses.clear();
    self.options.targetVoters = 5;
    BOOST_TEST((vmToAdmit(self, view(), now) == admission{{9}, {}}));
    self.membersIndex = {1};
    BOOST_TEST(!vmToAdmit(self, view(), now).has_value()); // The latest change of membership isn't committed.
}

// Guards against a VM that was removed while it was cut off and takes itself for a member: the others refuse it votes
// since they have a leader.
BOOST_AUTO_TEST_CASE(caller_atAMemberThatIsRefusedVotes_turnsToARefuser)
{
    self.role = replica_role::PreCandidate;
    BOOST_TEST((vmTowardsLeader(self, view(), 0) == vm_id{}));
    self.refusals = {{2}, {3}};
    BOOST_TEST((vmTowardsLeader(self, view(), 0) == vm_id{2}));
    BOOST_TEST((vmTowardsLeader(self, view(), 1) == vm_id{3}));
    self.leader = {2};
    BOOST_TEST((vmTowardsLeader(self, view(), 1) == vm_id{2}));
}

// Guards against a relation on the disks of an older build that removes a VM again each time it votes.
BOOST_AUTO_TEST_CASE(joiningVm_replacedByAMemberEarlier_isNotReplacedAgain)
{
    self.options.targetVoters = 15;
    self.members = withMember(self.members, {{3}, voting_role::Voter, {9}});
    std::vector<replica_effect> effects;
    step(self, learner_proposed{1, {9}, {}}, now, 5, effects);
    BOOST_REQUIRE(findMember(self.members, {9}) != nullptr);
    BOOST_TEST((findMember(self.members, {3})->replaces == vm_id{}));
}

// Guards against replaced voters that add up: with an even number of voters the loss of one more costs the quorum as
// soon as with one voter less.
BOOST_AUTO_TEST_CASE(voter_lostOfAnEvenNumber_removedSoon)
{
    now += self.options.lostMemberLimit - 1ms;
    BOOST_TEST(!memberToRemove(self, view(), now).has_value());
    now += 1ms;
    self.peers[0].lastContact = now;
    BOOST_TEST((memberToRemove(self, view(), now) == vm_id{4})); // Voter 3 hasn't answered either, but is live.
    self.role = replica_role::Follower;
    BOOST_TEST(!memberToRemove(self, view(), now).has_value());
}

BOOST_AUTO_TEST_CASE(voter_lostAloneOfAnOddNumber_removedAfterLongAbsence)
{
    addLiveVoter(5);
    now += self.options.absentVoterLimit - 1s;
    BOOST_TEST(!memberToRemove(self, view(), now).has_value());
    now += 2s;
    BOOST_TEST((memberToRemove(self, view(), now) == vm_id{4}));
}

BOOST_AUTO_TEST_CASE(voters_severalLostOfAnOddNumber_longestSilentRemoved)
{
    addLiveVoter(5);
    std::erase(live, vm_id{3});
    self.peers[1].lastContact = now - 1s; // Voter 3.
    now += self.options.lostMemberLimit;
    BOOST_TEST((memberToRemove(self, view(), now) == vm_id{3}));
}

BOOST_AUTO_TEST_CASE(voter_lostOfTheFewest_neverRemoved)
{
    self.members = withoutMember(self.members, {3});
    std::erase_if(self.peers, [](const peer_progress &peer) { return peer.id == vm_id{3}; });
    now += self.options.absentVoterLimit * 2;
    BOOST_TEST(!memberToRemove(self, view(), now).has_value());
}

// Guards against a cluster whose places are all taken by learners that died before they voted.
BOOST_AUTO_TEST_CASE(learner_lost_removed)
{
    self.members = withMember(self.members, {{7}, voting_role::Learner, {}});
    self.peers.push_back({.id = {7}, .lastContact = now});
    self.peers[2].lastContact = now + 1h; // Voter 4 has answered.
    now += self.options.lostMemberLimit;
    BOOST_TEST((memberToRemove(self, view(), now) == vm_id{7}));
}

// Guards against callers that are refused at a VM that waits to join, although there is a leader.
BOOST_AUTO_TEST_CASE(caller_atAWaitingVm_sentToEachLiveVmInTurn)
{
    self.options.self = {9};
    self.role = replica_role::Follower;
    live = {{1}, {2}, {3}};
    for (std::uint64_t turn = 0; turn < 2 * live.size(); ++turn) {
        BOOST_TEST((vmTowardsLeader(self, view(), turn) == live[turn % live.size()]));
    }
    self.leader = {4}; // Led when this VM was a member.
    BOOST_TEST((vmTowardsLeader(self, view(), 0) == vm_id{1}));
    self.leader = {2};
    BOOST_TEST((vmTowardsLeader(self, view(), 0) == vm_id{2}));
    self.leader = {};
    live.clear();
    BOOST_TEST((vmTowardsLeader(self, view(), 0) == vm_id{}));
}

BOOST_AUTO_TEST_CASE(caller_atAMember_sentToTheKnownLeaderOnly)
{
    self.options.self = {2};
    self.role = replica_role::Follower;
    live = {{1}, {3}};
    BOOST_TEST((vmTowardsLeader(self, view(), 0) == vm_id{}));
    self.leader = {1};
    BOOST_TEST((vmTowardsLeader(self, view(), 1) == vm_id{1}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
