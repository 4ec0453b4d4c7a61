#include "fleet/fleet_processes.h"

#include <boost/test/unit_test.hpp>

#include <csignal>

namespace guavafront
{

namespace
{

/// Three entry VMs, one stand-in of "cobros", one account; claims can be made.
struct idempotency_fixture {
    fleet_processes fleet{fleet_layout{.controls = 1, .entries = 3}};
    std::string key;
    std::string upstream;

    idempotency_fixture()
    {
        fleet.startAll();
        key = fleet.createAccount("panalera");
        fleet.operate({"route", "put", "/cobros", "--service", "cobros", "--kind", "cobro", "--timeout-ms", "2000"});
        upstream = fleet.startUpstream("cobros", {"entry-1"});
        for (const std::string &entry : fleet.entries()) {
            fleet.waitForStatus(entry, "/cobros/ready", key, 200);
        }
        int attempt = 0;
        fleetWait([&] {
            return fleet.post("entry-3", "/cobros/first", key, "{}", "first-" + std::to_string(++attempt)).status
                   == 200;
        });
    }

    static void fleetWait(const std::function<bool()> &condition)
    {
        fleet_processes::waitUntil("a claim can be made", condition);
    }

    /// How often requests on a path ran at the stand-in.
    std::size_t runsOf(const std::string &path) const
    {
        const std::string counts = bodyOf(fleet.askUpstream(upstream, "GET", "/counts"));
        std::size_t runs = 0;
        for (std::size_t at = counts.find(path); at != std::string::npos; at = counts.find(path, at + 1)) {
            ++runs;
        }
        return runs;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(idempotency_test, idempotency_fixture)

BOOST_AUTO_TEST_CASE(resend_atAnotherEntry_firstAnswerAgain)
{
    const http_answer first = fleet.post("entry-1", "/cobros/7", key, "{\"mxn\":90}", "charge-7");
    BOOST_REQUIRE(first.status == 200);
    for (const std::string &entry : fleet.entries()) {
        BOOST_TEST(bodyOf(fleet.post(entry, "/cobros/7", key, "{\"mxn\":90}", "charge-7")) == bodyOf(first));
    }
}

BOOST_AUTO_TEST_CASE(resend_afterTheFirstEntryDied_firstAnswerAgain)
{
    const http_answer first = fleet.post("entry-1", "/cobros/8", key, "{}", "charge-8");
    BOOST_REQUIRE(first.status == 200);
    fleet.kill("entry-1");
    BOOST_TEST(bodyOf(fleet.post("entry-2", "/cobros/8", key, "{}", "charge-8")) == bodyOf(first));
}

BOOST_AUTO_TEST_CASE(resend_whileControlIsAway_firstAnswerAgain)
{
    fleet.kill("control-1");
    const http_answer first = fleet.post("entry-1", "/cobros/9", key, "{}", "charge-9");
    BOOST_REQUIRE(first.status == 200);
    BOOST_TEST(bodyOf(fleet.post("entry-2", "/cobros/9", key, "{}", "charge-9")) == bodyOf(first));
}

BOOST_AUTO_TEST_CASE(sameKey_otherRequest_conflict)
{
    BOOST_REQUIRE(fleet.post("entry-1", "/cobros/10", key, "{\"mxn\":1}", "charge-10").status == 200);
    BOOST_TEST(fleet.post("entry-2", "/cobros/10", key, "{\"mxn\":2}", "charge-10").status == 422);
}

BOOST_AUTO_TEST_CASE(resend_afterOutcomeUnknown_neverRunsAgain)
{
    const http_answer first = fleet.post("entry-1", "/cobros/11?behaviour=close", key, "{}", "charge-11");
    BOOST_TEST(bodyOf(first).find("\"not_run\":false") != std::string::npos);
    const http_answer second = fleet.post("entry-2", "/cobros/11?behaviour=close", key, "{}", "charge-11");
    BOOST_TEST(bodyOf(second).find("\"not_run\":false") != std::string::npos);
    BOOST_TEST(runsOf("charge-11") <= 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
