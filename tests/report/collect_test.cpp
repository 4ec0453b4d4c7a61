#include "fleet/fleet_processes.h"
#include "report/burn_report.h"
#include "report/collect.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace guavafront
{

namespace
{

/// A control VM, and an entry VM with a route to a service that has no instance; requests are answered with 503.
struct collect_fixture {
    fleet_processes fleet{fleet_layout{.controls = 1, .entries = 1}};
    std::vector<metrics_sample> samples;
    std::size_t failures = 0;
    std::string key;

    collect_fixture()
    {
        fleet.startAll();
        key = fleet.createAccount("panalera");
        fleet.runOperatorCommand({"route", "put", "/cobros", "--service", "cobros", "--kind", "cobro"});
        // Until the configuration is confirmed, requests are refused with 503 before their account is known.
        fleet_processes::waitUntil("entry-1 refuses for want of an instance", [this] { return lacksInstance(); });
    }

    /// Sends a request and returns whether it is refused because the service has no instance.
    bool lacksInstance() const
    {
        const http_answer answer = fleet.request("entry-1", "GET", "/cobros/x", key);
        return answer.status == 503 && bodyOf(answer).find(R"("name":"no_upstream")") != std::string::npos;
    }

    void collect(const std::vector<endpoint> &sources)
    {
        collectSamples(
            {.sources = sources, .interval = std::chrono::seconds(5), .rounds = 1},
            [this](const metrics_sample &sample) { samples.push_back(sample); },
            [this](const endpoint &) { ++failures; });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(collect_test, collect_fixture)

BOOST_AUTO_TEST_CASE(collect_refusalsBetweenRounds_alertForServiceAndAccount)
{
    const endpoint source{"127.0.0.1", fleet.portsOf("entry-1").metrics};
    collect({source});
    for (int each = 0; each < 3; ++each) {
        BOOST_TEST(lacksInstance());
    }
    collect({source});
    const burn_report report = makeBurnReport(samples, {});
    for (const burn_subject_kind kind : {burn_subject_kind::Service, burn_subject_kind::Account}) {
        BOOST_TEST(std::ranges::any_of(report.states, [kind](const burn_state &state) {
            return state.subject.kind == kind && state.periodWindow.bad == 3 && isFiring(state);
        }));
    }
}

BOOST_AUTO_TEST_CASE(collect_daemonAway_reportedAndOthersRead)
{
    collect({{"127.0.0.1", 1}, {"127.0.0.1", fleet.portsOf("entry-1").metrics}});
    BOOST_TEST(failures == 1U);
    BOOST_TEST(samples.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
