#include "fleet/fleet_processes.h"
#include "load/load_run.h"

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

/// Fleet of one control VM, two entry VMs and an upstream, with a load of two accounts through both entry VMs.
struct load_run_fixture {
    fleet_processes fleet{fleet_layout{.controls = 1, .entries = 2}};
    load_options options;

    load_run_fixture()
    {
        fleet.startAll();
        fleet.runOperatorCommand({"route", "put", "/listas", "--service", "rutas", "--kind", "lista"});
        for (const std::string name : {"panalera", "tjarnaveitur"}) {
            options.plan.accounts.push_back(
                {.name = name, .key = fleet.createAccount(name), .ratePerSecond = 50, .limitPerSecond = 0});
        }
        fleet.startUpstream("rutas", fleet.entries());
        for (const std::string &entry : fleet.entries()) {
            fleet.waitForStatus(entry, "/listas/hoy", options.plan.accounts[1].key, 200);
            options.entryServers.push_back({"127.0.0.1", fleet.portsOf(entry).callers});
        }
        options.plan.entryTargetCount = options.entryServers.size();
        options.plan.length = std::chrono::seconds(1);
        options.plan.requests = {{.method = "GET", .target = "/listas/hoy"}};
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(load_run_test, load_run_fixture)

BOOST_AUTO_TEST_CASE(load_mixOfPaths_eachArrivalEndsOnce)
{
    options.plan.requests.push_back({.method = "GET", .target = "/nada"});
    options.plan.accounts.push_back({.name = "stranger", .key = "a-key-of-nobody", .ratePerSecond = 20});
    const load_result result = runLoad(options, {});
    const account_tally total = combinedTally(options.plan, result, load_path::ThroughEntry);
    BOOST_TEST(result.unfinished == 0U);
    BOOST_TEST(total.arrivals == scheduleArrivals(options.plan).size());
    BOOST_TEST(total.answered + sumOfCounts(total.refused) + sumOfCounts(total.failed) == total.arrivals);
    BOOST_TEST(total.answered > 0U);
    BOOST_TEST(total.refused.at(result_code::NoRoute) > 0U);
    BOOST_TEST(result.accounts[2].answered == 0U);
    BOOST_TEST(result.accounts[2].refused.at(result_code::KeyUnknown) > 0U);
}

BOOST_AUTO_TEST_CASE(load_entryKilled_countedAsFailed)
{
    fleet.kill("entry-2");
    const load_result result = runLoad(options, {});
    const account_tally total = combinedTally(options.plan, result, load_path::ThroughEntry);
    BOOST_TEST(total.failed.at(load_failure::ConnectFailed) > 0U);
    BOOST_TEST(total.answered > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
