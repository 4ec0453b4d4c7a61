#include "fleet/fleet_processes.h"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

#include <string>

namespace guavafront
{

namespace
{

/// Fleet with one control VM, one entry VM and one instance of the service "rutas". A request is quarantined after the
/// first instance that it crashes (`quarantineDeaths` is 1).
struct quarantine_operation_fixture {
    static constexpr std::string_view crashTarget = "/listas/hoy?behaviour=crash";

    fleet_processes fleet{fleet_layout{.controls = 1, .entries = 1}};
    std::string entry = fleet.entries().front();
    std::string key;

    quarantine_operation_fixture()
    {
        fleet.startAll();
        key = fleet.createAccount("panalera");
        fleet.runOperatorCommand({"route", "put", "/listas", "--service", "rutas", "--kind", "lista"});
        fleet.runOperatorCommand({"default", "quarantineDeaths", "1"});
        fleet.startUpstream("rutas", {entry});
        fleet.waitForStatus(entry, "/listas/hoy", key, 200);
    }

    /// Runs an operator command, which must succeed, and returns the JSON that it printed.
    nlohmann::json runAndParse(const std::vector<std::string> &arguments)
    {
        const operator_outcome outcome = fleet.tryOperatorCommand(arguments);
        BOOST_REQUIRE(outcome.exitStatus == 0);
        return nlohmann::json::parse(outcome.answer);
    }

    /// Sends the request that crashes its instance; returns whether it was refused without being run.
    bool isQuarantined()
    {
        return bodyOf(fleet.request(entry, "GET", crashTarget, key)).find("\"not_run\":true") != std::string::npos;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(quarantine_operation_test, quarantine_operation_fixture)

BOOST_AUTO_TEST_CASE(crashRequest_listedAndReleasedByOperator_runsAgain)
{
    BOOST_TEST(runAndParse({"quarantine", "list"})["held"].empty());
    BOOST_TEST(!isQuarantined());
    fleet.startUpstream("rutas", {entry});
    fleet.waitForStatus(entry, "/listas/hoy", key, 200);
    nlohmann::json held;
    fleet_processes::waitUntil("the request that crashed an instance is listed as quarantined", [&] {
        held = runAndParse({"quarantine", "list"})["held"];
        return held.size() == 1;
    });
    BOOST_TEST(held[0]["account"] == "panalera");
    BOOST_TEST(held[0]["path_prefix"] == "/listas");
    BOOST_TEST(held[0]["deaths"].size() == 1U);
    BOOST_TEST(isQuarantined());
    const std::string request = held[0]["request"];
    BOOST_TEST(runAndParse({"quarantine", "release", request})["request"] == request);
    BOOST_TEST(runAndParse({"quarantine", "list"})["held"].empty());
    fleet_processes::waitUntil("the entry VM lets the released request run", [this] { return !isQuarantined(); });
}

BOOST_AUTO_TEST_CASE(release_unknownRequest_refused)
{
    BOOST_CHECK_THROW(fleet.runOperatorCommand({"quarantine", "release", "00000000000000aa"}), std::runtime_error);
    BOOST_CHECK_THROW(fleet.runOperatorCommand({"quarantine", "release", "nonsense"}), std::runtime_error);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
