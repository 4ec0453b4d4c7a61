#include "wire/quarantine_json.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <boost/test/unit_test.hpp>

#include <array>

namespace guavafront
{

namespace
{

/// A configuration with one account and one route, and a request during which two instances died. The death of one of
/// them has been forgiven.
struct quarantine_json_fixture {
    configuration current;
    std::array<death_record, 1> held{
        {{.request = {0xab}, .account = {1}, .route = {2}, .deadInstances = {{0x10}, {0x11}}, .forgiven = {{0x10}}}}};

    quarantine_json_fixture()
    {
        current.accounts = {{.id = {1}, .name = "panalera", .kindOrder = {}}};
        current.routes = {{.id = {2}, .pathPrefix = "/listas", .service = "rutas", .kind = "lista"}};
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(quarantine_json_test, quarantine_json_fixture)

BOOST_AUTO_TEST_CASE(toJson_accountAndRouteKnown_named)
{
    BOOST_TEST(toJson(held, current)
               == R"({"held":[{"request":"00000000000000ab","account":"panalera","host":"",)"
                  R"("path_prefix":"/listas","deaths":["0000000000000011"]}]})");
}

BOOST_AUTO_TEST_CASE(toJson_accountAndRouteGone_null)
{
    BOOST_TEST(toJson(held, {})
               == R"({"held":[{"request":"00000000000000ab","account":null,"host":null,)"
                  R"("path_prefix":null,"deaths":["0000000000000011"]}]})");
}

BOOST_AUTO_TEST_CASE(parseReleaseJson_ownForm_sameRequest)
{
    BOOST_TEST(parseReleaseJson(releaseJson({0xab})).value == 0xabU);
}

BOOST_AUTO_TEST_CASE(parseReleaseJson_malformed_changeInvalid)
{
    for (const char *text :
         {"", "[]", "{}", R"({"request":7})", R"({"request":"ab"})", R"({"request":"0000000000000000"})",
          R"({"request":"00000000000000ab","more":1})", R"({"request":"zz000000000000ab"})"}) {
        BOOST_CHECK_EXCEPTION(parseReleaseJson(text), coordination_error,
                              [](const auto &error) { return error.code() == result_code::ChangeInvalid; });
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
