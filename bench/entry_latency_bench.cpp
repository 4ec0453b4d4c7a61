#include "http/upstream_connection.h"
#include "runtime/loop.h"
#include "settings/endpoint.h"

#include <algorithm>
#include <cstdio>
#include <optional>
#include <string>
#include <vector>

namespace guavafront
{

namespace
{

constexpr std::size_t warmUpRequests = 200;
constexpr std::size_t pairsMeasured = 3'000;
constexpr duration requestTimeout = std::chrono::seconds(5);
constexpr int statusOk = 200;

/// Sends GET requests one after the other over one kept-alive connection and measures their latency.
class latency_probe
{
public:
    latency_probe(loop &owner, const endpoint &server, std::string target, const std::string &key)
        : m_loop(owner)
        , m_target(std::move(target))
        , m_headers({{"Host", toText(server)}, {"X-Api-Key", key}})
        , m_connection(owner, {.address = server.ip, .port = server.port}, [] {})
    {
    }

    /// Latency of one request in microseconds; nothing when it wasn't answered with status 200.
    std::optional<std::int64_t> measure()
    {
        const std::vector<header_view> views = viewsOf(m_headers);
        const instant started = loop::now();
        std::optional<std::int64_t> elapsed;
        m_connection.send(
            {.method = "GET", .target = m_target, .headers = views, .body = {}, .timeout = requestTimeout},
            [this, started, &elapsed](const upstream_outcome &outcome) {
                if (outcome.result == upstream_result::Answered && outcome.answer.status == statusOk) {
                    elapsed = (loop::now() - started).count();
                }
                m_loop.stop();
            });
        m_loop.run();
        return elapsed;
    }

private:
    loop &m_loop; ///< Not owned.
    std::string m_target; ///< Path of the requests.
    std::vector<http_header> m_headers; ///< Host and API key.
    upstream_connection m_connection; ///< Stays open between requests.
};

/// Prints percentiles of latencies in microseconds.
void report(const char *name, std::vector<std::int64_t> times)
{
    std::ranges::sort(times);
    const auto at = [&times](std::size_t percent) {
        return times[(times.size() - 1) * percent / 100];
    };
    std::printf("%-8s p50 %lld us, p99 %lld us, %zu requests\n", name, static_cast<long long>(at(50)),
                static_cast<long long>(at(99)), times.size());
}

/// Sends requests alternately to the upstream directly and through the entry VM, and compares their latencies.
int runBench(const endpoint &upstream, const endpoint &entryVm, const std::string &target, const std::string &key)
{
    loop events;
    latency_probe direct(events, upstream, target, key);
    latency_probe viaEntry(events, entryVm, target, key);
    std::vector<std::int64_t> directTimes;
    std::vector<std::int64_t> viaEntryTimes;
    std::size_t incompletePairs = 0;
    for (std::size_t pair = 0; pair < warmUpRequests + pairsMeasured; ++pair) {
        const auto directTime = direct.measure();
        const auto viaEntryTime = viaEntry.measure();
        if (!directTime || !viaEntryTime) {
            ++incompletePairs;
        } else if (pair >= warmUpRequests) {
            directTimes.push_back(*directTime);
            viaEntryTimes.push_back(*viaEntryTime);
        }
    }
    if (directTimes.empty()) {
        std::fputs("no pair of requests was answered by both the upstream and the entry VM\n", stderr);
        return 1;
    }
    report("direct", std::move(directTimes));
    report("through", std::move(viaEntryTimes));
    std::printf("pairs without both answers: %zu\n", incompletePairs);
    return 0;
}

} // namespace

} // namespace guavafront

/// Usage: entry_latency_bench UPSTREAM_IP:PORT ENTRY_IP:PORT PATH KEY, against a running fleet.
int main(int argc, char **argv)
{
    constexpr int expectedArguments = 5;
    if (argc != expectedArguments) {
        std::fputs("usage: entry_latency_bench UPSTREAM_IP:PORT ENTRY_IP:PORT PATH KEY\n", stderr);
        return 2;
    }
    const auto upstream = guavafront::parseEndpoint(argv[1]);
    const auto entryVm = guavafront::parseEndpoint(argv[2]);
    if (!upstream || !entryVm) {
        std::fputs("UPSTREAM and ENTRY addresses must be IP:PORT\n", stderr);
        return 2;
    }
    return guavafront::runBench(*upstream, *entryVm, argv[3], argv[4]);
}
