#include "fleet/child_process.h"
#include "fleet/fleet_processes.h"
#include "fleet/platform_processes.h"
#include "runtime/loop.h"

#include <boost/test/unit_test.hpp>
#include <poll.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <thread>

namespace guavafront
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Five control and four entry VMs before eight instances. Clients send requests to every entry VM all the time.
struct lost_registrar_fixture {
    static constexpr duration drainTime = seconds(2); ///< Bound of the platform for a leaving instance.
    static constexpr duration deadline = seconds(4); ///< Deadline of each request.
    static constexpr std::size_t controlCount = 5; ///< Control VMs.
    static constexpr std::size_t entryCount = 4; ///< Entry VMs.
    static constexpr std::size_t instanceCount = 8; ///< Instances.

    platform_processes fleet{controlCount, entryCount};
    std::uint64_t sequence = 1; ///< Number of the last heartbeats.
    std::vector<std::string> staying; ///< Instances that announce that they are ready.
    std::atomic<bool> ended = false; ///< The clients stop.
    std::vector<std::jthread> clients; ///< One client for each entry VM.
    std::string frozen; ///< Control VM that gets no heartbeats; empty for none.

    lost_registrar_fixture()
    {
        fleet.configure();
        for (std::size_t number = 1; number <= instanceCount; ++number) {
            staying.push_back("i-" + std::to_string(number));
            fleet.startInstance(staying.back(), {"--latency-ms", "20"});
        }
        for (std::size_t number = 1; number <= entryCount; ++number) {
            const std::string entry = "entry-" + std::to_string(number);
            fleet.waitUntilServed(entry, "/safe/first");
            clients.emplace_back([this, entry] { runClient(entry); });
        }
        beatFor(seconds(3));
    }

    ~lost_registrar_fixture()
    {
        ended = true;
    }

    void runClient(const std::string &entry) const
    {
        constexpr int pauseMs = 20;
        for (std::size_t count = 0; !ended; ++count) {
            const bool safe = count % 2 == 0;
            fleet.request(entry, safe ? "GET" : "POST", safe ? "/safe/x" : "/once/x", deadline);
            poll(nullptr, 0, pauseMs);
        }
    }

    static std::string controlAt(std::size_t number)
    {
        return "control-" + std::to_string(number % controlCount + 1);
    }

    /// Lets the instances that stay send a heartbeat each second, at control VMs in turn.
    void beatFor(duration span)
    {
        const instant end = loop::now() + span;
        while (loop::now() < end) {
            ++sequence;
            for (std::size_t index = 0; index < staying.size(); ++index) {
                const std::string control = controlAt(index + sequence);
                if (fleet.process(control).running() && control != frozen) {
                    fleet.sendHeartbeatTo(control, staying[index], {.sequence = sequence});
                }
            }
            const duration left = std::clamp<duration>(end - loop::now(), duration::zero(), seconds(1));
            poll(nullptr, 0, static_cast<int>(std::chrono::duration_cast<milliseconds>(left).count()));
        }
    }

    /// Tells control VMs that an instance leaves, beginning with the numbered one, until one acknowledges it. Returns
    /// that one, or an empty text if none does.
    std::string leave(const std::string &id, bool deregisters, std::size_t first)
    {
        ++sequence;
        for (std::size_t number = first; number < first + controlCount; ++number) {
            std::string control = controlAt(number);
            const int status = deregisters
                                   ? fleet.callControlAt(control, "instances.deregister", id, R"({"born":1})")
                                   : fleet.sendHeartbeatTo(control, id, {.state = "draining", .sequence = sequence});
            if (status == 200) {
                return control;
            }
        }
        return {};
    }

    /// Lets the last of the staying instances leave, sends the signal to the control VM that acknowledged it, and
    /// counts the requests that reach the instance too late.
    std::size_t countLateRequests(bool deregisters, std::size_t round, int signal)
    {
        const std::string leaving = staying.back();
        staying.pop_back();
        const std::string registrar = leave(leaving, deregisters, round);
        const instant acknowledged = loop::now();
        BOOST_TEST_REQUIRE(!registrar.empty());
        fleet.process(registrar).signal(signal);
        frozen = registrar;
        beatFor(drainTime + milliseconds(1'500));
        std::size_t late = 0;
        for (const instant at : fleet.arrivalsAt(leaving)) {
            late += at > acknowledged + drainTime ? 1 : 0;
        }
        if (signal == SIGSTOP) {
            fleet.process(registrar).signal(SIGCONT);
        } else {
            fleet.process(registrar).waitForExit(seconds(2));
            fleet.startVm(registrar);
        }
        frozen.clear();
        beatFor(seconds(2));
        return late;
    }

    /// Each round loses the registrar of another instance, right after its acknowledgement.
    void loseRegistrars(int signal)
    {
        constexpr std::size_t rounds = 4;
        for (std::size_t round = 0; round < rounds; ++round) {
            const bool deregisters = round % 2 == 0;
            const std::size_t late = countLateRequests(deregisters, round, signal);
            BOOST_TEST(late == 0U, "round " << round << ": " << late << " requests reached the instance too late after "
                                            << (deregisters ? "its deregistration" : "it said that it drains"));
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(lost_registrar_test, lost_registrar_fixture)

BOOST_AUTO_TEST_CASE(departure_registrarKilledAfterAcknowledgement_instanceGetsNothingMore)
{
    loseRegistrars(SIGKILL);
}

BOOST_AUTO_TEST_CASE(departure_registrarFrozenAfterAcknowledgement_instanceGetsNothingMore)
{
    loseRegistrars(SIGSTOP);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
