#include "load/load_arguments.h"
#include "load/load_output.h"
#include "load/load_result.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace guavafront
{

namespace
{

constexpr arrival within{.account = 0};
constexpr arrival aboveRate{.account = 0, .withinRate = false};
constexpr arrival ofSecondAccount{.account = 1};

/// Empty results of two accounts that send through entry VMs and of the direct comparison with an upstream.
struct load_result_fixture {
    load_options options;
    load_result result;

    load_result_fixture()
    {
        options.plan.accounts = {{.name = "a"}, {.name = "b"}, {.name = "(direct)", .path = load_path::Direct}};
        options.directServers = {{"127.0.0.1", 1}};
        result.accounts.resize(options.plan.accounts.size());
        result.length = std::chrono::seconds(1);
    }

    static bool isRejected(std::string_view text)
    {
        try {
            parseLoadAccount(text);
        } catch (const coordination_error &) {
            return true;
        }
        return false;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(load_result_test, load_result_fixture)

BOOST_AUTO_TEST_CASE(quantile_knownLatencies_withinBucketWidth)
{
    latency_histogram latencies;
    for (int each = 1; each <= 1'000; ++each) {
        latencies.add(std::chrono::microseconds(each * 10));
    }
    BOOST_TEST(latencies.quantile(0.5).count() >= 5'000);
    BOOST_TEST(latencies.quantile(0.5).count() <= 5'025);
    BOOST_TEST(latencies.quantile(0.99).count() >= 9'900);
    BOOST_TEST(latencies.quantile(0.99).count() <= 9'950);
}

BOOST_AUTO_TEST_CASE(quantile_emptyOrOutOfRange_clamped)
{
    latency_histogram latencies;
    BOOST_TEST(latencies.quantile(0.99).count() == 0);
    latencies.add({});
    latencies.add(std::chrono::hours(1));
    BOOST_TEST(latencies.count() == 2U);
    BOOST_TEST(latencies.quantile(0.5).count() <= 2);
    BOOST_TEST((latencies.quantile(1) == std::chrono::seconds(100)));
}

BOOST_AUTO_TEST_CASE(recordOutcome_refusals_wrongfulOnlyWithinRate)
{
    recordOutcome(result, within, {}, {});
    recordOutcome(result, within, {.refused = result_code::OverRate, .failed = {}}, {});
    recordOutcome(result, aboveRate, {.refused = result_code::OverRate, .failed = {}}, {});
    recordOutcome(result, within, {.refused = {}, .failed = load_failure::TimedOut}, {});
    const account_tally &tally = result.accounts[0];
    BOOST_TEST(tally.arrivals == 4U);
    BOOST_TEST(tally.withinRate == 3U);
    BOOST_TEST(tally.refused.at(result_code::OverRate) == 2U);
    BOOST_TEST(tally.refusedWithinRate.at(result_code::OverRate) == 1U);
    BOOST_TEST(shortfallOf(tally) == 1U);
}

BOOST_AUTO_TEST_CASE(fairness_oneAccountStarved_worstAndJain)
{
    for (int each = 0; each < 4; ++each) {
        recordOutcome(result, within, {}, {});
        recordOutcome(result, ofSecondAccount, {.refused = result_code::NoCapacity, .failed = {}}, {});
    }
    const fairness fair = fairnessOf(options.plan, result);
    BOOST_TEST(fair.worstAccount == 1U);
    BOOST_TEST(fair.worstShare == 0);
    BOOST_TEST(fair.jainIndex == 0.5);
}

BOOST_AUTO_TEST_CASE(json_counts_readBack)
{
    recordOutcome(result, within, {}, std::chrono::milliseconds(3));
    recordOutcome(result, {.account = 2}, {}, std::chrono::milliseconds(1));
    const auto document = nlohmann::json::parse(loadJson(options, result));
    BOOST_TEST(document["accounts"]["a"]["answered"].get<int>() == 1);
    BOOST_TEST(!document["accounts"].contains("(direct)"));
    BOOST_TEST(document["added_p50_us"].get<int>() >= 1'990);
    BOOST_TEST(document["added_p50_us"].get<int>() <= 2'020);
}

BOOST_AUTO_TEST_CASE(account_wholeOption_parsed)
{
    const load_account account = parseLoadAccount("name=panalera,rate=20.5,limit=50,burst=100");
    BOOST_TEST(account.name == "panalera");
    BOOST_TEST(account.ratePerSecond == 20.5);
    BOOST_TEST(account.limitBurst == 100);
}

BOOST_AUTO_TEST_CASE(account_wrongOption_refused)
{
    for (const std::string_view text : {"", "name=a", "rate=1", "name=a,rate=0", "name=a,rate=-1", "name=a,rate=1x",
                                        "name=a,rate=nan", "name=a,rate=1,limit=1", "name=a,rate=1,color=red"}) {
        BOOST_CHECK_MESSAGE(isRejected(text), text << " was taken");
    }
}

BOOST_AUTO_TEST_CASE(request_methodPathWeight_parsedOrRefused)
{
    const load_request request = parseLoadRequest("POST /cobros?x=1 2.5");
    BOOST_TEST(request.method == "POST");
    BOOST_TEST(request.target == "/cobros?x=1");
    BOOST_TEST(request.weight == 2.5);
    for (const std::string_view text : {"", "get /", "GET", "GET cobros", "GET / 0", "GET / 1 2"}) {
        BOOST_CHECK_THROW(parseLoadRequest(text), coordination_error);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
