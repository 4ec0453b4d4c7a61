#include <guavafront/coordination/claims/claims_home.h>

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

/// Claims home on VM 6. The homes of all shards are VMs 1 to 5 in view 1 and VMs 2 to 6 in view 2.
struct claims_home_fixture {
    claim_key key = makeClaimKey({1}, "k");
    std::vector<claims_member> previousMembers = members(1, 5);
    claims_home state;
    instant now{};
    std::vector<send_claim_message> effects;

    claims_home_fixture()
    {
        state.self = {6};
        installView(state, {.epoch = {2}, .members = members(2, 6), .previous = previousMembers}, now, effects);
    }

    static std::vector<claims_member> members(std::uint64_t first, std::uint64_t last)
    {
        std::vector<claims_member> list;
        for (std::uint64_t id = first; id <= last; ++id) {
            list.push_back({.id = {id}, .life = 0, .dataCentre = "a"});
        }
        return list;
    }

    /// Asks for a vote on an attempt under the view with this epoch and returns the vote.
    claim_vote voteUnder(std::uint64_t epoch)
    {
        effects.clear();
        receive(state, {9}, claim_request{{epoch}, {{9}, 1}, key, {}, std::chrono::seconds(1)}, now, effects);
        return std::get<claim_reply>(effects.at(0).message).vote;
    }

    /// Delivers the only page of records from a home of view 1.
    void receiveLastPage(std::uint64_t home, bool ready, std::vector<shard_record> records = {})
    {
        receive(state, {home}, shard_page{{2}, shardOf(key), {}, ready, true, std::move(records)}, now, effects);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(claims_home_test, claims_home_fixture)

BOOST_AUTO_TEST_CASE(vote_minorityTransferred_notReady)
{
    receiveLastPage(1, true);
    receiveLastPage(2, true);
    BOOST_TEST((voteUnder(2) == claim_vote::NotReady));
    receiveLastPage(3, true);
    BOOST_TEST((voteUnder(2) == claim_vote::Granted));
}

BOOST_AUTO_TEST_CASE(vote_majorityTransferredNoneReady_notReady)
{
    receiveLastPage(1, false);
    receiveLastPage(2, false);
    receiveLastPage(3, false);
    BOOST_TEST((voteUnder(2) == claim_vote::NotReady));
    receiveLastPage(4, true);
    BOOST_TEST((voteUnder(2) == claim_vote::Granted));
}

BOOST_AUTO_TEST_CASE(vote_otherView_notReady)
{
    receiveLastPage(1, true);
    receiveLastPage(2, true);
    receiveLastPage(3, true);
    BOOST_TEST((voteUnder(1) == claim_vote::NotReady));
    BOOST_TEST((voteUnder(3) == claim_vote::NotReady));
    BOOST_TEST((voteUnder(2) == claim_vote::Granted));
}

BOOST_AUTO_TEST_CASE(vote_pulledForNewerView_notReady)
{
    receiveLastPage(1, true);
    receiveLastPage(2, true);
    receiveLastPage(3, true);
    receive(state, {7}, shard_pull{{3}, shardOf(key), 0, {}}, now, effects);
    BOOST_TEST((voteUnder(2) == claim_vote::NotReady));
}

BOOST_AUTO_TEST_CASE(vote_oneHomeReportedHolder_taken)
{
    receiveLastPage(1, true, {{key, std::chrono::hours(1), {{{{8}, 4}, {}, std::chrono::seconds(1)}}, {}}});
    receiveLastPage(2, true);
    receiveLastPage(3, true);
    BOOST_TEST((voteUnder(2) == claim_vote::Taken));
}

BOOST_AUTO_TEST_CASE(pull_otherLife_noReply)
{
    effects.clear();
    receive(state, {7}, shard_pull{{3}, shardOf(key), 77, {}}, now, effects);
    BOOST_TEST(effects.empty());
}

BOOST_AUTO_TEST_CASE(installView_memberHasOtherLife_notReady)
{
    claims_home second;
    second.self = {6};
    second.life = 5;
    std::swap(state, second);
    installView(state, {.epoch = {2}, .members = members(2, 6), .previous = {}}, now, effects);
    BOOST_TEST((voteUnder(2) == claim_vote::NotReady));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
