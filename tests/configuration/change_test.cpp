#include "configuration/configuration_fixture.h"

#include <guavafront/coordination/configuration/key_table.h>
#include <guavafront/coordination/configuration/setting.h>

#include <boost/test/unit_test.hpp>

#include <limits>

namespace guavafront
{

BOOST_FIXTURE_TEST_SUITE(change_test, configuration_fixture)

BOOST_AUTO_TEST_CASE(applyChanges_firstSet_oneRevision)
{
    BOOST_TEST(log.current.atRevision.value == 1U);
    BOOST_TEST(log.current.accounts.at(0).id.value == 1U);
    BOOST_TEST(log.current.routes.at(0).id.value == 1U);
}

BOOST_AUTO_TEST_CASE(applyChanges_lastOneBad_nothingApplied)
{
    const configuration before = log.current;
    BOOST_CHECK_THROW(applyChanges(log.current, std::vector<change>{create_account{"new"}, withdraw_key{"none"}}),
                      coordination_error);
    BOOST_CHECK(log.current == before);
}

BOOST_AUTO_TEST_CASE(applyChanges_unknownOrTakenSubject_numberedCode)
{
    BOOST_CHECK(codeOf({create_account{"panalera"}}) == result_code::SubjectExists);
    BOOST_CHECK(codeOf({grant_key{"panalera-1", "panalera", hashOf(8)}}) == result_code::SubjectExists);
    BOOST_CHECK(codeOf({grant_key{"other", "panalera", hashOf(7)}}) == result_code::SubjectExists);
    BOOST_CHECK(codeOf({grant_key{"other", "nobody", hashOf(8)}}) == result_code::SubjectUnknown);
    BOOST_CHECK(codeOf({remove_route{"rutas.example", "/"}}) == result_code::SubjectUnknown);
    BOOST_CHECK(codeOf({put_exception{{"account:nobody", "accountBurst", 5, "why"}}}) == result_code::SubjectUnknown);
    BOOST_CHECK(codeOf({put_exception{{"service:none", "retryBudgetPercent", 5, "why"}}})
                == result_code::SubjectUnknown);
    BOOST_CHECK(codeOf({remove_exception{"account:panalera", "accountBurst"}}) == result_code::SubjectUnknown);
}

BOOST_AUTO_TEST_CASE(applyChanges_invalidValue_changeInvalid)
{
    BOOST_CHECK(codeOf({create_account{"two words"}}) == result_code::ChangeInvalid);
    BOOST_CHECK(codeOf({set_defaults{{.accountBurst = std::numeric_limits<double>::quiet_NaN()}}})
                == result_code::ChangeInvalid);
    BOOST_CHECK(codeOf({set_defaults{{.healthyFloorPercent = 101}}}) == result_code::ChangeInvalid);
    BOOST_CHECK(codeOf({put_route{{.host = "Upper", .service = "s", .kind = "k"}}}) == result_code::ChangeInvalid);
    BOOST_CHECK(codeOf({put_route{{.pathPrefix = "a", .service = "s", .kind = "k"}}}) == result_code::ChangeInvalid);
    BOOST_CHECK(codeOf({set_kind_order{"panalera", {"a", "a"}}}) == result_code::ChangeInvalid);
    BOOST_CHECK(codeOf({}) == result_code::ChangeInvalid);
}

BOOST_AUTO_TEST_CASE(applyChanges_exceptionFault_numberedCode)
{
    const std::string subject = "account:panalera";
    BOOST_CHECK(codeOf({put_exception{{subject, "accountBurst", 5, " \n"}}}) == result_code::ReasonMissing);
    BOOST_CHECK(codeOf({put_exception{{subject, "accountBurst", -1, "why"}}}) == result_code::ChangeInvalid);
    BOOST_CHECK(codeOf({put_exception{{subject, "retryBudgetPercent", 5, "why"}}}) == result_code::ChangeInvalid);
    BOOST_CHECK(codeOf({put_exception{{subject, "colour", 5, "why"}}}) == result_code::ChangeInvalid);
    BOOST_CHECK(codeOf({put_exception{{"service:rutas", "quarantineDeaths", 2.5, "why"}}})
                == result_code::ChangeInvalid);
}

BOOST_AUTO_TEST_CASE(applyChanges_routeAtSamePlace_replacedWithItsId)
{
    const configuration after = applyChanges(
        log.current, std::vector<change>{
                         put_route{{.host = "rutas.example", .pathPrefix = "/listas/", .service = "b", .kind = "k"}}});
    BOOST_TEST(after.routes.size() == 1U);
    BOOST_TEST(after.routes.at(0).id.value == 1U);
    BOOST_TEST(after.routes.at(0).service == "b");
}

BOOST_AUTO_TEST_CASE(applyChanges_removedThenCreated_idNotReused)
{
    const configuration after =
        applyChanges(log.current, std::vector<change>{remove_route{"rutas.example", "/listas"}, firstChanges.at(2)});
    BOOST_TEST(after.routes.at(0).id.value == 2U);
}

BOOST_AUTO_TEST_CASE(valuesForAccount_exception_onlyThatAccountAndSetting)
{
    BOOST_TEST(valuesForAccount(log.current, "panalera").accountRatePerSecond == 250.5);
    BOOST_TEST(valuesForAccount(log.current, "other").accountRatePerSecond == 100);
    BOOST_TEST(valuesForService(log.current, "panalera").accountRatePerSecond == 100);
    BOOST_TEST(valuesForAccount(log.current, "panalera").accountBurst == 200);
}

BOOST_AUTO_TEST_CASE(findKey_grantedThenWithdrawn_unknown)
{
    const key_table granted = buildKeyTable(log.current.keys);
    BOOST_REQUIRE(findKey(granted, hashOf(7)) != nullptr);
    BOOST_TEST(findKey(granted, hashOf(7))->owner.value == 1U);
    key_hash nearMiss = hashOf(7);
    nearMiss.back() = std::byte{0};
    BOOST_TEST(findKey(granted, nearMiss) == nullptr);
    const configuration after = applyChanges(log.current, std::vector<change>{withdraw_key{"panalera-1"}});
    BOOST_TEST(findKey(buildKeyTable(after.keys), hashOf(7)) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
