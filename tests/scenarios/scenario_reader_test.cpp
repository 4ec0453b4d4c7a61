#include "scenarios/scenario_reader.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace guavafront
{

namespace
{

struct scenario_reader_fixture {
    /// Whether reading fails with the error code and a message that contains the path followed by a colon.
    static bool refused(std::string_view text, result_code code, std::string_view path)
    {
        try {
            readScenarios("file", text);
        } catch (const coordination_error &error) {
            const std::string message = error.what();
            BOOST_TEST_MESSAGE(message);
            return error.code() == code && message.find(std::string(path) + ":") != std::string::npos;
        }
        return false;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(scenario_reader_test, scenario_reader_fixture)

BOOST_AUTO_TEST_CASE(file_withComments_stepsInOrder)
{
    const std::vector<scenario> read = readScenarios("file", R"({
        "fleet": {"entries": 3}, // The other members have their default values.
        "steps": [{"kill": "entry-1"}, {"cut": {"link": "cobros-1", "direction": "away"}}]
    })");
    BOOST_REQUIRE(read.size() == 1);
    BOOST_TEST(read.front().fleet.entries == 3U);
    BOOST_REQUIRE(read.front().steps.size() == 2);
    BOOST_TEST(std::get<process_step>(read.front().steps[0]).process == "entry-1");
    const auto &cut = std::get<link_step>(read.front().steps[1]);
    BOOST_TEST(!cut.towards);
    BOOST_TEST(cut.away);
    BOOST_TEST((cut.mode == link_mode::Hold));
}

BOOST_AUTO_TEST_CASE(table_twoColumns_everyCombination)
{
    const std::vector<scenario> read = readScenarios("file", R"({
        "fleet": {},
        "table": {"a": {"x": {"do": [{"kill": "p"}]}, "y": {"do": []}}, "b": {"u": {"do": [{"thaw": "q"}]}}},
        "steps": [{"insert": "a.do"}, {"insert": "b.do"}]
    })");
    BOOST_REQUIRE(read.size() == 2);
    BOOST_TEST(read[0].name == "file/x/u");
    BOOST_TEST(read[0].steps.size() == 2U);
    BOOST_TEST(read[1].name == "file/y/u");
    BOOST_TEST(read[1].steps.size() == 1U);
}

BOOST_AUTO_TEST_CASE(name_unknown_refusedWithPath)
{
    const result_code code = result_code::SettingUnknown;
    BOOST_TEST(refused(R"({"fleet": {"entires": 3}, "steps": []})", code, "fleet.entires"));
    BOOST_TEST(refused(R"({"fleet": {}, "steps": [{"kil": "entry-1"}]})", code, "steps[0].kil"));
    BOOST_TEST(refused(R"({"fleet": {}, "steps": [{"stopLoad": {"alowed": [1]}}]})", code, "steps[0].stopLoad.alowed"));
    BOOST_TEST(
        refused(R"({"fleet": {}, "steps": [], "table": {"a": {"x": {"unused": []}}}})", code, "table.a.x.unused"));
}

BOOST_AUTO_TEST_CASE(value_wrongTypeOrMissing_refusedWithPath)
{
    const result_code code = result_code::SettingInvalid;
    BOOST_TEST(refused(R"({"fleet": {"entries": "3"}, "steps": []})", code, "fleet.entries"));
    BOOST_TEST(
        refused(R"({"fleet": {"upstreams": [{"name": "a"}]}, "steps": []})", code, "fleet.upstreams[0].service"));
    BOOST_TEST(refused(R"({"fleet": {}, "steps": [{"cut": {"link": "a", "direction": "up"}}]})", code,
                       "steps[0].cut.direction"));
    BOOST_TEST(refused(R"({"fleet": {}, "steps": [{"insert": "a.do"}]})", code, "steps[0].insert"));
    BOOST_TEST(refused("{", code, "file"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
