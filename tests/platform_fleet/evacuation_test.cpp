#include "fleet/child_process.h"
#include "fleet/fleet_processes.h"
#include "fleet/platform_processes.h"
#include "http/http_call.h"
#include "runtime/loop.h"

#include <boost/test/unit_test.hpp>
#include <poll.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

namespace guavafront
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Three control and two entry VMs before two instances in each of two data centres. Clients send requests to both
/// entry VMs all the time.
struct evacuation_fleet_fixture {
    static constexpr duration reachTime = seconds(5); ///< Bound of the platform after the acknowledgement (EvacMs).
    static constexpr duration deadline = seconds(3); ///< Deadline of each request.

    platform_processes fleet{3, 2};
    std::uint64_t sequence = 1; ///< Number of the last heartbeats.
    std::atomic<bool> ended = false; ///< The clients stop.
    std::atomic<std::size_t> served = 0; ///< Requests answered with 200.
    std::vector<std::jthread> clients; ///< One client for each entry VM.

    evacuation_fleet_fixture()
    {
        fleet.configure();
        for (const std::string zone : {"occ-a", "occ-b"}) {
            for (const std::string number : {"1", "2"}) {
                fleet.startInstance(zone + "-" + number, {"--latency-ms", "20"}, {.zone = zone});
            }
        }
        for (const std::string entry : {"entry-1", "entry-2"}) {
            fleet.waitUntilServed(entry, "/safe/first");
            clients.emplace_back([this, entry] { runClient(entry); });
        }
        beatFor(seconds(2));
    }

    ~evacuation_fleet_fixture()
    {
        ended = true;
    }

    void runClient(const std::string &entry)
    {
        constexpr int pauseMs = 20;
        for (std::size_t count = 0; !ended; ++count) {
            const bool safe = count % 2 == 0;
            const client_request sent =
                fleet.request(entry, safe ? "GET" : "POST", safe ? "/safe/x" : "/once/x", deadline);
            served += sent.status == 200 ? 1 : 0;
            poll(nullptr, 0, pauseMs);
        }
    }

    /// Lets all instances send a heartbeat each second.
    void beatFor(duration span)
    {
        const instant end = loop::now() + span;
        while (loop::now() < end) {
            ++sequence;
            for (const std::string zone : {"occ-a", "occ-b"}) {
                for (const std::string number : {"1", "2"}) {
                    fleet.sendHeartbeat(zone + "-" + number, {.sequence = sequence, .zone = zone});
                }
            }
            const duration left = std::clamp<duration>(end - loop::now(), duration::zero(), seconds(1));
            poll(nullptr, 0, static_cast<int>(std::chrono::duration_cast<milliseconds>(left).count()));
        }
    }

    /// Time of the last request that reached an instance of the data centre.
    instant lastArrivalIn(const std::string &zone) const
    {
        instant last{};
        for (const std::string number : {"1", "2"}) {
            const std::vector<instant> times = fleet.arrivalsAt(zone + "-" + number);
            last = times.empty() ? last : std::max(last, times.back());
        }
        return last;
    }

    /// Answer of a control VM to a call without a body, with its content type.
    std::pair<int, std::string> callOf(std::string_view method, std::string_view query) const
    {
        const http_answer answer =
            httpCall(fleet.controlEndpoint("control-1"),
                     {.method = method, .target = "/api/rpc?" + std::string(query), .body = "", .timeout = seconds(1)});
        return {answer.status, std::string(headerValue(viewsOf(answer.headers), "Content-Type"))};
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(evacuation_test, evacuation_fleet_fixture)

BOOST_AUTO_TEST_CASE(order_onTheControlPort_dataCentreEmptiedUntilItsRevocation)
{
    BOOST_REQUIRE(fleet.orderEvacuation("evacuation.start", "occ-a") == 200);
    const instant acknowledged = loop::now();
    const std::size_t servedBefore = served;
    beatFor(reachTime + seconds(2));
    const duration late = lastArrivalIn("occ-a") - acknowledged;
    BOOST_TEST(std::chrono::duration_cast<milliseconds>(late).count() < 1'000); // Our own target.
    BOOST_TEST(served > servedBefore);
    BOOST_TEST(fleet.metricSum("entry-1", "guavafront_evacuated", "occ-a") == 1);
    BOOST_TEST(fleet.metricSum("control-1", "guavafront_evacuated", "occ-a") == 1);
    BOOST_TEST(fleet.metricSum("entry-1", "guavafront_evacuation_requests_total", "placed") > 0);
    BOOST_REQUIRE(fleet.orderEvacuation("evacuation.end", "occ-a") == 200);
    const instant revoked = loop::now();
    beatFor(seconds(3));
    BOOST_CHECK(lastArrivalIn("occ-a") > revoked);
    BOOST_TEST(fleet.metricSum("entry-1", "guavafront_evacuated", "occ-a") == 0);
}

// Guards against an acknowledged order that is lost when all VMs lose power, and against entry VMs that send by an
// older state after their restart.
BOOST_AUTO_TEST_CASE(order_allVmsKilledAfterTheAcknowledgement_nothingReachesTheDataCentre)
{
    const std::vector<std::string> vms{"control-1", "control-2", "control-3", "entry-1", "entry-2"};
    BOOST_REQUIRE(fleet.orderEvacuation("evacuation.start", "occ-a") == 200);
    for (const std::string &vm : vms) {
        fleet.process(vm).signal(SIGKILL);
    }
    for (const std::string &vm : vms) {
        fleet.process(vm).waitForExit(seconds(2));
    }
    const instant killed = loop::now();
    for (const std::string &vm : vms) {
        fleet.startVm(vm);
    }
    const std::size_t servedBefore = served;
    const instant end = killed + seconds(30);
    while (served == servedBefore && loop::now() < end) {
        beatFor(seconds(1)); // The control VMs have lost the registry, too.
    }
    beatFor(reachTime);
    BOOST_CHECK(lastArrivalIn("occ-a") < killed);
    BOOST_CHECK(lastArrivalIn("occ-b") > killed);
}

BOOST_AUTO_TEST_CASE(order_leaderKilledWhileOrdering_settledWithinTheTimeOfResends)
{
    for (const std::string &control : fleet.controls()) {
        fleet.process(control).signal(SIGKILL);
        fleet.process(control).waitForExit(seconds(2));
        BOOST_TEST(fleet.orderEvacuation("evacuation.start", "occ-a") == 200);
        fleet.startVm(control);
        BOOST_TEST(fleet.orderEvacuation("evacuation.end", "occ-a") == 200);
        beatFor(seconds(5)); // The next order isn't taken for a copy of this one.
    }
}

BOOST_AUTO_TEST_CASE(wrongOrders_refusedWithProblemDetails)
{
    const std::string problem = "application/problem+json";
    BOOST_CHECK((callOf("POST", "call=evacuation.start&of=nowhere") == std::pair{400, problem}));
    BOOST_CHECK((callOf("POST", "call=evacuation.start") == std::pair{400, problem}));
    BOOST_CHECK((callOf("POST", "call=evacuation.end&of=") == std::pair{400, problem}));
    BOOST_CHECK((callOf("GET", "call=evacuation.start&of=occ-a") == std::pair{405, problem}));
    BOOST_TEST(fleet.orderEvacuation("evacuation.end", "occ%2Db") == 200); // Nothing was in force.
    BOOST_TEST(fleet.metricSum("control-1", "guavafront_evacuated") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
