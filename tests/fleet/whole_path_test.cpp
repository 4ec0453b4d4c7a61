#include "fleet/fleet_processes.h"

#include <boost/test/unit_test.hpp>

#include <csignal>

namespace guavafront
{

namespace
{

/// Fleet with one control VM, two entry VMs and a stand-in of the service "rutas" announced to each, with one client
/// account and a route that requires a key.
struct whole_path_fixture {
    fleet_processes fleet{fleet_layout{.controls = 1, .entries = 2}};
    std::string key;

    whole_path_fixture()
    {
        fleet.startAll();
        key = fleet.createAccount("panalera");
        fleet.runOperatorCommand({"route", "put", "/listas", "--service", "rutas", "--kind", "lista"});
        for (const std::string &entry : fleet.entries()) {
            fleet.startUpstream("rutas", {entry});
            fleet.waitForStatus(entry, "/listas/hoy", key, 200);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(whole_path_test, whole_path_fixture)

BOOST_AUTO_TEST_CASE(request_keyedThroughEachEntry_completeAnswer)
{
    for (const std::string &entry : fleet.entries()) {
        const http_answer answer = fleet.request(entry, "GET", "/listas/hoy?dia=1", key);
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(bodyOf(answer).find("/listas/hoy") != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(request_withoutKeyOrRoute_refusedNotRun)
{
    const http_answer keyless = fleet.request("entry-1", "GET", "/listas/hoy");
    BOOST_TEST(keyless.status == 401);
    BOOST_TEST(bodyOf(keyless).find("\"not_run\":true") != std::string::npos);
    BOOST_TEST(fleet.request("entry-1", "GET", "/nada", key).status == 404);
}

BOOST_AUTO_TEST_CASE(request_keyInPathOrBody_refusedNotRun)
{
    for (const http_answer &answer : {fleet.request("entry-1", "GET", "/listas/" + key, key),
                                      fleet.request("entry-1", "POST", "/listas", key, key)}) {
        BOOST_TEST(answer.status == 400);
        BOOST_TEST(bodyOf(answer).find("\"name\":\"key_misplaced\",\"not_run\":true") != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(answer_cutByUpstream_errorNotShortSuccess)
{
    const http_answer answer = fleet.request("entry-1", "POST", "/listas/hoy?behaviour=cut", key, "{}");
    BOOST_TEST(answer.status == 502);
    BOOST_TEST(bodyOf(answer).find("\"not_run\":false") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(key_withdrawn_refusedOnEveryEntry)
{
    fleet.runOperatorCommand({"key", "withdraw", "panalera-1"});
    for (const std::string &entry : fleet.entries()) {
        fleet.waitForStatus(entry, "/listas/hoy", key, 401);
    }
}

BOOST_AUTO_TEST_CASE(entry_terminated_requestUnderWayFinishes)
{
    fleet.runOperatorCommand({"route", "put", "/slow", "--service", "rutas", "--kind", "lista"});
    fleet.waitForStatus("entry-1", "/slow/x", key, 200);
    fleet.signal("entry-1", SIGTERM);
    // This request arrives before the listener closes, and it still runs when the listener has closed.
    const http_answer during = fleet.request("entry-1", "POST", "/slow/x?ms=300", key, "{}");
    BOOST_TEST(during.status == 200);
    BOOST_TEST(fleet.waitForExit("entry-1", std::chrono::seconds(15)));
}

BOOST_AUTO_TEST_CASE(announcement_receivedByOneEntry_servedByAll)
{
    fleet.runOperatorCommand({"route", "put", "/cobros", "--service", "cobros", "--kind", "cobro"});
    const std::string upstream = fleet.startUpstream("cobros", {"entry-1"});
    fleet.waitForStatus("entry-2", "/cobros/x", key, 200);
    // Once the instance announces that it is leaving, no entry VM sends it new requests.
    fleet.signal(upstream, SIGTERM);
    fleet.waitForStatus("entry-2", "/cobros/x", key, 503);
}

BOOST_AUTO_TEST_CASE(controlVm_killed_requestsStillAnswered)
{
    fleet.kill("control-1");
    BOOST_TEST(fleet.request("entry-2", "GET", "/listas/hoy", key).status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
