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

BOOST_AUTO_TEST_CASE(voter_silentBeyondLimitAndNotLive_removed)
{
    now += self.options.absentVoterLimit - 1s;
    BOOST_TEST(!voterToRemove(self, view(), now).has_value());
    now += 2s;
    self.peers[0].lastContact = now;
    BOOST_TEST((voterToRemove(self, view(), now) == vm_id{4})); // Voter 3 hasn't answered either, but is live.
    self.role = replica_role::Follower;
    BOOST_TEST(!voterToRemove(self, view(), now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
