#include <guavafront/coordination/burn/burn.h>

#include <guavafront/coordination/core/result_code.h>

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

using std::chrono::minutes;
using std::chrono::seconds;

/// Samples of one service's availability at several daemons.
struct burn_fixture {
    const burn_subject subject{.name = "cobros"};
    std::vector<burn_sample> samples;

    void sample(const std::string &source, duration at, double total, double bad)
    {
        samples.push_back({.source = source, .at = at, .readings = {{.subject = subject, .total = total, .bad = bad}}});
    }

    double totalOfHistory() const
    {
        double sum = 0;
        for (const burn_increment &each : historyOf()) {
            sum += each.total;
        }
        return sum;
    }

    std::vector<burn_increment> historyOf() const
    {
        const burn_history history = burnHistoryOf(samples);
        const auto found = history.find(subject);
        return found == history.end() ? std::vector<burn_increment>() : found->second;
    }

    burn_state state(double objectivePercent, const burn_policy &policy = {}) const
    {
        return burnStateOf(subject, historyOf(), coveredBy(samples), objectivePercent, policy);
    }

    /// One sample a minute from 0 to the end; in the last badMinutes one event in ten is bad.
    void fill(int lengthMinutes, int badMinutes)
    {
        double bad = 0;
        for (int minute = 0; minute <= lengthMinutes; ++minute) {
            bad += minute > lengthMinutes - badMinutes ? 10 : 0;
            sample("a", minutes(minute), 100.0 * minute, bad);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(burn_test, burn_fixture)

BOOST_AUTO_TEST_CASE(weight_eachResult_asStated)
{
    BOOST_TEST((burnWeightOf("ok") == burn_weight::Good));
    for (const result_code_row &row : resultCodeTable()) {
        const bool excluded = row.code == result_code::OverRate || row.code == result_code::KeyMissing
                              || row.code == result_code::KeyUnknown || row.code == result_code::NoRoute;
        const burn_weight expected = row.code == result_code::Ok ? burn_weight::Good
                                     : excluded                  ? burn_weight::Excluded
                                                                 : burn_weight::Bad;
        BOOST_CHECK_MESSAGE(burnWeightOf(row.name) == expected, row.name);
    }
    BOOST_TEST((burnWeightOf("upstream_error") == burn_weight::Bad));
    BOOST_TEST((burnWeightOf("a_result_of_a_later_version") == burn_weight::Bad));
}

BOOST_AUTO_TEST_CASE(history_firstSample_onlyBase)
{
    sample("a", seconds(10), 1'000, 50);
    BOOST_TEST(historyOf().empty());
    sample("a", seconds(20), 1'010, 51);
    BOOST_TEST(totalOfHistory() == 10);
}

BOOST_AUTO_TEST_CASE(history_counterReset_wholeValueIsNew)
{
    sample("a", seconds(10), 1'000, 50);
    sample("a", seconds(20), 30, 2);
    sample("a", seconds(30), 40, 2);
    BOOST_TEST(totalOfHistory() == 40);
    BOOST_TEST(historyOf().front().bad == 2);
}

BOOST_AUTO_TEST_CASE(history_severalDaemonsOutOfOrder_eachOnItsOwn)
{
    sample("b", seconds(20), 7, 0);
    sample("a", seconds(20), 1'100, 0);
    sample("a", seconds(10), 1'000, 0);
    sample("b", seconds(10), 2, 0);
    BOOST_TEST(totalOfHistory() == 105);
}

BOOST_AUTO_TEST_CASE(history_subjectAppearsLater_countsFromZero)
{
    samples.push_back({.source = "a", .at = seconds(10), .readings = {}});
    sample("a", seconds(20), 4, 1);
    BOOST_TEST(totalOfHistory() == 4);
}

BOOST_AUTO_TEST_CASE(window_partlyCovered_saysSo)
{
    fill(10, 0);
    const burn_alert alert = state(99).alerts.front();
    BOOST_TEST((alert.longWindow.covered == minutes(10)));
    BOOST_TEST((alert.shortWindow.covered == minutes(5)));
    BOOST_TEST(alert.shortWindow.total == 500);
}

BOOST_AUTO_TEST_CASE(burnRate_tenthBadUnder99Percent_ten)
{
    fill(10, 10);
    BOOST_TEST(state(99).period.burnRate == 10, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(alert_longAndShortAboveThreshold_fires)
{
    fill(60, 60);
    const burn_state burnt = state(99.9);
    BOOST_TEST(burnt.alerts[0].firing);
    BOOST_TEST(burnt.alerts[0].shortWindow.burnRate == 100, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(isFiring(burnt));
}

BOOST_AUTO_TEST_CASE(alert_faultOver_shortWindowEndsIt)
{
    fill(30, 30);
    for (int minute = 31; minute <= 40; ++minute) {
        sample("a", minutes(minute), 100.0 * minute, 300);
    }
    const burn_alert page = state(99.9).alerts[0];
    BOOST_TEST(page.longWindow.burnRate > page.rule.threshold);
    BOOST_TEST(page.shortWindow.burnRate == 0);
    BOOST_TEST(!page.firing);
}

BOOST_AUTO_TEST_CASE(alert_briefFault_longWindowHoldsItBack)
{
    fill(60, 5); // 0.83% of the hour's events: a burn rate of 8.3.
    const burn_alert page = state(99.9).alerts[0];
    BOOST_TEST(page.shortWindow.burnRate > page.rule.threshold);
    BOOST_TEST(!page.firing);
}

BOOST_AUTO_TEST_CASE(budget_hourAtBurnRateTwo_spendsItsPart)
{
    fill(60, 60);
    burn_policy policy;
    policy.period = std::chrono::hours(10);
    BOOST_TEST(state(95, policy).budgetLeft == 1 - 2 * 0.1, boost::test_tools::tolerance(1e-9));
    policy.period = minutes(60);
    BOOST_TEST(state(95, policy).budgetLeft == -1, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(state_noEvents_calmWithWholeBudget)
{
    sample("a", seconds(0), 5, 5);
    sample("a", seconds(60), 5, 5);
    BOOST_TEST(state(99.9).budgetLeft == 1);
    BOOST_TEST(!isFiring(state(99.9)));
}

BOOST_AUTO_TEST_CASE(points_faultAtTheEnd_onlyTheLastOnesBurn)
{
    fill(60, 15);
    const auto points = state(99).points;
    BOOST_TEST(points.size() == 60U);
    BOOST_TEST(points[44].burnRate == 0);
    BOOST_TEST(points[45].burnRate == 10, boost::test_tools::tolerance(1e-9));
    BOOST_TEST((points.back().at == minutes(60)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
