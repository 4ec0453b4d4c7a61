#include <guavafront/coordination/burn/burn.h>

#include <guavafront/coordination/core/result_code.h>

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

using std::chrono::minutes;
using std::chrono::seconds;

/// Availability samples of one service from several daemons.
struct burn_fixture {
    const burn_subject subject{.name = "cobros"};
    std::vector<burn_sample> samples;

    void addSample(const std::string &source, duration at, double total, double bad)
    {
        samples.push_back({.source = source, .at = at, .readings = {{.subject = subject, .total = total, .bad = bad}}});
    }

    double totalOfHistory() const
    {
        double sum = 0;
        for (const burn_increment &each : subjectHistory()) {
            sum += each.total;
        }
        return sum;
    }

    std::vector<burn_increment> subjectHistory() const
    {
        const burn_history history = burnHistoryOf(samples);
        const auto found = history.find(subject);
        return found == history.end() ? std::vector<burn_increment>() : found->second;
    }

    burn_state computeState(double objectivePercent, const burn_policy &policy = {}) const
    {
        return burnStateOf(subject, subjectHistory(), sampledTimeRange(samples), objectivePercent, policy);
    }

    /// Adds one sample a minute, from minute 0 to lengthMinutes, with 100 events a minute. In the last badMinutes one
    /// event in ten is bad.
    void addMinuteSamples(int lengthMinutes, int badMinutes)
    {
        double bad = 0;
        for (int minute = 0; minute <= lengthMinutes; ++minute) {
            bad += minute > lengthMinutes - badMinutes ? 10 : 0;
            addSample("a", minutes(minute), 100.0 * minute, bad);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(burn_test, burn_fixture)

BOOST_AUTO_TEST_CASE(classifyResult_eachResult_asDocumented)
{
    BOOST_TEST((classifyResult("ok") == burn_event_class::Good));
    for (const result_code_row &row : resultCodeTable()) {
        const bool excluded = row.code == result_code::OverRate || row.code == result_code::KeyMissing
                              || row.code == result_code::KeyUnknown || row.code == result_code::NoRoute;
        const burn_event_class expected = row.code == result_code::Ok ? burn_event_class::Good
                                          : excluded                  ? burn_event_class::Excluded
                                                                      : burn_event_class::Bad;
        BOOST_CHECK_MESSAGE(classifyResult(row.name) == expected, row.name);
    }
    BOOST_TEST((classifyResult("upstream_error") == burn_event_class::Bad));
    BOOST_TEST((classifyResult("a_result_of_a_later_version") == burn_event_class::Bad));
}

BOOST_AUTO_TEST_CASE(history_firstSample_baselineOnly)
{
    addSample("a", seconds(10), 1'000, 50);
    BOOST_TEST(subjectHistory().empty());
    addSample("a", seconds(20), 1'010, 51);
    BOOST_TEST(totalOfHistory() == 10);
}

BOOST_AUTO_TEST_CASE(history_counterReset_wholeValueIsNew)
{
    addSample("a", seconds(10), 1'000, 50);
    addSample("a", seconds(20), 30, 2);
    addSample("a", seconds(30), 40, 2);
    BOOST_TEST(totalOfHistory() == 40);
    BOOST_TEST(subjectHistory().front().bad == 2);
}

BOOST_AUTO_TEST_CASE(history_severalDaemonsOutOfOrder_countedPerDaemon)
{
    addSample("b", seconds(20), 7, 0);
    addSample("a", seconds(20), 1'100, 0);
    addSample("a", seconds(10), 1'000, 0);
    addSample("b", seconds(10), 2, 0);
    BOOST_TEST(totalOfHistory() == 105);
}

BOOST_AUTO_TEST_CASE(history_subjectAppearsLater_countsFromZero)
{
    samples.push_back({.source = "a", .at = seconds(10), .readings = {}});
    addSample("a", seconds(20), 4, 1);
    BOOST_TEST(totalOfHistory() == 4);
}

BOOST_AUTO_TEST_CASE(window_partlyCovered_reportsCoveredDuration)
{
    addMinuteSamples(10, 0);
    const burn_alert alert = computeState(99).alerts.front();
    BOOST_TEST((alert.longWindow.covered == minutes(10)));
    BOOST_TEST((alert.shortWindow.covered == minutes(5)));
    BOOST_TEST(alert.shortWindow.total == 500);
}

BOOST_AUTO_TEST_CASE(burnRate_tenthBadUnder99Percent_ten)
{
    addMinuteSamples(10, 10);
    BOOST_TEST(computeState(99).periodWindow.burnRate == 10, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(alert_longAndShortAboveThreshold_fires)
{
    addMinuteSamples(60, 60);
    const burn_state burning = computeState(99.9);
    BOOST_TEST(burning.alerts[0].firing);
    BOOST_TEST(burning.alerts[0].shortWindow.burnRate == 100, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(isFiring(burning));
}

BOOST_AUTO_TEST_CASE(alert_faultOver_shortWindowEndsIt)
{
    addMinuteSamples(30, 30);
    for (int minute = 31; minute <= 40; ++minute) {
        addSample("a", minutes(minute), 100.0 * minute, 300);
    }
    const burn_alert page = computeState(99.9).alerts[0];
    BOOST_TEST(page.longWindow.burnRate > page.rule.threshold);
    BOOST_TEST(page.shortWindow.burnRate == 0);
    BOOST_TEST(!page.firing);
}

BOOST_AUTO_TEST_CASE(alert_briefFault_longWindowPreventsIt)
{
    addMinuteSamples(60, 5); // 0.83% of the hour's events are bad, which is a burn rate of 8.3.
    const burn_alert page = computeState(99.9).alerts[0];
    BOOST_TEST(page.shortWindow.burnRate > page.rule.threshold);
    BOOST_TEST(!page.firing);
}

BOOST_AUTO_TEST_CASE(budget_hourAtBurnRateTwo_spendsItsShare)
{
    addMinuteSamples(60, 60);
    burn_policy policy;
    policy.period = std::chrono::hours(10);
    BOOST_TEST(computeState(95, policy).budgetLeft == 1 - 2 * 0.1, boost::test_tools::tolerance(1e-9));
    policy.period = minutes(60);
    BOOST_TEST(computeState(95, policy).budgetLeft == -1, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(state_noEvents_notFiringWithFullBudget)
{
    addSample("a", seconds(0), 5, 5);
    addSample("a", seconds(60), 5, 5);
    BOOST_TEST(computeState(99.9).budgetLeft == 1);
    BOOST_TEST(!isFiring(computeState(99.9)));
}

BOOST_AUTO_TEST_CASE(points_faultAtTheEnd_onlyLastPointsNonzero)
{
    addMinuteSamples(60, 15);
    const auto points = computeState(99).points;
    BOOST_TEST(points.size() == 60U);
    BOOST_TEST(points[44].burnRate == 0);
    BOOST_TEST(points[45].burnRate == 10, boost::test_tools::tolerance(1e-9));
    BOOST_TEST((points.back().at == minutes(60)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
