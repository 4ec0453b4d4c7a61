#include "fleet/fleet_processes.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <thread>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

/// Requests that one caller of an account sends through one entry VM at a constant rate.
struct request_stream {
    std::string account; ///< Name of the account. The request ids start with it.
    std::string entry; ///< Name of the entry VM.
    std::size_t count = 0; ///< Number of requests.
    duration interval{}; ///< Time between the starts of two requests.
    std::size_t answered = 0; ///< Requests answered with status 200.
    std::vector<std::string> otherAnswers; ///< Bodies of all other answers.
};

/// Three entry VMs in front of one stand-in instance of the service "rutas". Account "flooder" has limits of its own,
/// set as exceptions; account "steady" has the default limits.
struct fair_share_fixture {
    static constexpr double flooderRateLimit = 40; ///< Requests that "flooder" may send a second.
    static constexpr double flooderBurst = 20; ///< Requests that "flooder" may send at once.
    static constexpr int floodFactor = 5; ///< Rate that "flooder" sends at, as a multiple of its limit.
    /// Callers of "flooder" at each entry VM. These are more callers than its rate limit keeps waiting for tokens.
    static constexpr std::size_t flooderCallersPerEntry = 20;
    static constexpr duration sendDuration = 6s; ///< How long both accounts send; longer if the machine cannot keep up.
    /// Requests that "steady" sends a second. The default rate limit is higher.
    static constexpr double steadyRate = 30;
    fleet_processes fleet{fleet_layout{.controls = 1, .entries = 3}};
    std::map<std::string, std::string> keys; ///< API keys by account name.
    std::string upstreamInstance; ///< Name of the stand-in instance.

    fair_share_fixture()
    {
        fleet.startAll();
        for (const char *account : {"flooder", "steady"}) {
            keys[account] = fleet.createAccount(account);
        }
        const auto putException = [this](const char *setting, double value) {
            fleet.runOperatorCommand(
                {"exception", "put", "account:flooder", setting, std::to_string(value), "--reason", "test"});
        };
        putException("accountRatePerSecond", flooderRateLimit);
        putException("accountBurst", flooderBurst);
        fleet.runOperatorCommand({"route", "put", "/listas", "--service", "rutas", "--kind", "lista"});
        upstreamInstance = fleet.startUpstream("rutas", {"entry-1", "entry-2"}, {"--slots", "16"});
        for (const std::string &entry : fleet.entries()) {
            fleet.waitForStatus(entry, "/listas/hoy", keys["flooder"], 200);
        }
        // Each poll sends one request, which stays below the rate limit of "steady".
        std::size_t answeredInARow = 0;
        fleet_processes::waitUntil("every entry VM gets tokens of the account at once", [this, &answeredInARow] {
            const std::string &entry = fleet.entries()[answeredInARow % fleet.entries().size()];
            const bool answered = fleet.request(entry, "GET", "/listas/hoy", keys["steady"]).status == 200;
            answeredInARow = answered ? answeredInARow + 1 : 0;
            return answeredInARow == 4 * fleet.entries().size();
        });
    }

    /// Adds a stream for each of `callers` callers at each entry VM. All streams together send `rate` requests a
    /// second.
    void addStreams(std::vector<request_stream> &streams, const std::string &account, double rate,
                    std::size_t callers) const
    {
        const auto interval = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(static_cast<double>(callers * fleet.entries().size()) / rate));
        for (std::size_t number = 0; number < callers * fleet.entries().size(); ++number) {
            const std::string &entry = fleet.entries()[number % fleet.entries().size()];
            streams.push_back({.account = account,
                               .entry = entry,
                               .count = static_cast<std::size_t>(sendDuration / interval),
                               .interval = interval,
                               .otherAnswers = {}});
        }
    }

    /// Sends the requests of a stream. If the machine cannot keep up, they are sent late, but none is left out.
    void send(request_stream &stream) const
    {
        const auto start = std::chrono::steady_clock::now();
        for (std::size_t number = 0; number < stream.count; ++number) {
            std::this_thread::sleep_until(start + number * stream.interval);
            const std::string id = stream.account + '-' + stream.entry + '-' + std::to_string(number);
            const std::vector<http_header> headers{{"X-Request-Id", id}};
            const http_answer answer =
                httpCall({"127.0.0.1", fleet.portsOf(stream.entry).callers}, {.method = "GET",
                                                                              .target = "/listas/hoy",
                                                                              .token = keys.at(stream.account),
                                                                              .headers = headers,
                                                                              .timeout = 20s});
            if (answer.status == 200) {
                ++stream.answered;
            } else {
                stream.otherAnswers.push_back(bodyOf(answer));
            }
        }
    }

    /// Returns how many requests of an account ran at the stand-in instance.
    std::size_t countRuns(const std::string &account) const
    {
        const auto counts = nlohmann::json::parse(bodyOf(fleet.requestUpstream(upstreamInstance, "GET", "/counts")));
        std::size_t runs = 0;
        for (const auto &[id, count] : counts.items()) {
            runs += id.starts_with(account + '-') ? count.get<std::size_t>() : 0;
        }
        return runs;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(fair_share_test, fair_share_fixture)

BOOST_AUTO_TEST_CASE(account_otherSendsFiveTimesItsRate_allAnsweredAndTheOtherBounded)
{
    std::vector<request_stream> streams;
    addStreams(streams, "flooder", floodFactor * flooderRateLimit, flooderCallersPerEntry);
    addStreams(streams, "steady", steadyRate, 1);
    const auto start = std::chrono::steady_clock::now();
    {
        std::vector<std::jthread> senders;
        senders.reserve(streams.size());
        for (request_stream &stream : streams) {
            senders.emplace_back([this, &stream] { send(stream); });
        }
    }
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    std::map<std::string, std::size_t> answered;
    std::map<std::string, std::size_t> sent;
    for (const request_stream &stream : streams) {
        answered[stream.account] += stream.answered;
        sent[stream.account] += stream.count;
        for (const std::string &other : stream.otherAnswers) {
            BOOST_TEST(stream.account == "flooder", "steady refused: " << other);
            BOOST_TEST(other.find("\"not_run\":true") != std::string::npos, other);
        }
    }
    for (const auto &[account, count] : answered) {
        BOOST_TEST_MESSAGE(account << ": " << count << " of " << sent[account] << " answered in " << elapsed.count()
                                   << " s");
    }
    BOOST_TEST(answered["steady"] == sent["steady"]);
    BOOST_TEST(answered["flooder"] < sent["flooder"]);
    BOOST_TEST(countRuns("flooder") == answered["flooder"]);
    BOOST_TEST(static_cast<double>(countRuns("flooder")) <= flooderRateLimit * elapsed.count() + flooderBurst);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
