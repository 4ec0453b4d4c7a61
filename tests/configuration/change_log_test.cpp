#include "configuration/configuration_fixture.h"

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

struct change_log_fixture : configuration_fixture {
    /// Proposal of an operator that creates an account, with a content digest that depends on id and name.
    static change_proposal creation(std::uint64_t id, std::uint64_t expected, const std::string &name)
    {
        return {fleetOperator(), {{0, id}, {expected}, {create_account{name}}}, id * 31 + name.size()};
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(change_log_test, change_log_fixture)

BOOST_AUTO_TEST_CASE(decide_twoRace_oneConflict)
{
    BOOST_CHECK(decide(log, creation(1, 1, "a")).code == result_code::Ok);
    const change_answer loser = decide(log, creation(2, 1, "b"));
    BOOST_CHECK(loser.code == result_code::RevisionConflict);
    BOOST_TEST(loser.atRevision.value == 2U);
    BOOST_TEST(log.current.accounts.size() == 2U);
}

BOOST_AUTO_TEST_CASE(decide_resendAfterLaterChanges_firstAnswer)
{
    const change_answer accepted = decide(log, creation(1, 1, "a"));
    const change_answer refused = decide(log, creation(2, 1, "b"));
    decide(log, creation(3, 2, "c"));
    BOOST_CHECK(decide(log, creation(1, 1, "a")) == accepted);
    BOOST_CHECK(decide(log, creation(2, 1, "b")) == refused);
    BOOST_TEST(log.current.atRevision.value == 3U);
}

BOOST_AUTO_TEST_CASE(decide_requestIdReusedForOtherChange_refusedAndFirstAnswerKept)
{
    decide(log, creation(1, 1, "a"));
    BOOST_CHECK(decide(log, creation(1, 2, "other")).code == result_code::ChangeInvalid);
    BOOST_CHECK(decide(log, creation(1, 1, "a")).code == result_code::Ok);
    BOOST_TEST(log.current.atRevision.value == 2U);
}

BOOST_AUTO_TEST_CASE(decide_resendOfForgottenAcceptance_neverAppliedTwice)
{
    decide(log, creation(1, 1, "a"));
    for (std::uint64_t id = 2; id < 2 + maxRememberedAnswers; ++id) {
        decide(log, creation(id, 0, "late"));
    }
    BOOST_TEST(log.answers.size() == maxRememberedAnswers);
    BOOST_CHECK(decide(log, creation(1, 1, "a")).code == result_code::RevisionConflict);
    BOOST_TEST(log.current.atRevision.value == 2U);
}

BOOST_AUTO_TEST_CASE(decide_accountManager_onlyOrderOfOwnAccount)
{
    decide(log, creation(1, 1, "other"));
    const change_author manager{operator_role::AccountManager, "panalera"};
    const auto ask = [&](std::uint64_t id, const change &edit) {
        return decide(log, {manager, {{1, id}, log.current.atRevision, {edit}}, id}).code;
    };
    BOOST_CHECK(ask(1, set_kind_order{"other", {"lista"}}) == result_code::NotAuthorized);
    BOOST_CHECK(ask(2, withdraw_key{"panalera-1"}) == result_code::NotAuthorized);
    BOOST_CHECK(ask(3, set_kind_order{"panalera", {"lista", "cobro"}}) == result_code::Ok);
    BOOST_CHECK(!isAuthorized({operator_role::AccountManager, ""}, {{}, {}, {set_kind_order{"", {}}}}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
