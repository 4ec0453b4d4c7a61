#include "model/placement_run.h"

#include <boost/test/unit_test.hpp>

#include <initializer_list>
#include <numeric>

namespace guavafront
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Replays requests of 180 ms (target 500 ms) and of 1,000 ms (target 6,000 ms) at one service on virtual time.
struct placement_by_work_fixture {
    static constexpr std::uint64_t seeds = 6; ///< Seeds of each replay; one seed alone differs by half a percent.

    /// 20 instances with 80 slots; the kinds take four fifths of them.
    static bench::placement_options twoKinds()
    {
        bench::placement_options options{
            .vms = {34, 34, 33}, .instances = {7, 7, 6}, .requestsPerSecond = 180, .kinds = {}};
        options.kinds = {{.share = 0.8, .meanServiceTime = milliseconds(180), .latencyTarget = milliseconds(500)},
                         {.share = 0.2, .meanServiceTime = seconds(1), .latencyTarget = seconds(6)}};
        return options;
    }

    /// Share of the requests of a kind that are answered within their target, over all seeds.
    static double inTime(bench::placement_options options, std::size_t kind)
    {
        double inTime = 0;
        double all = 0;
        for (options.seed = 1; options.seed <= seeds; ++options.seed) {
            const bench::placement_result result = run(options);
            inTime += static_cast<double>(result.inTimeByKind[kind]);
            all += static_cast<double>(result.requestsByKind[kind]);
        }
        return inTime / all;
    }

    /// Checks that placing by work answers no smaller share of each kind within its target than before, but for the
    /// difference that chance makes between two sets of seeds.
    static void checkNoWorse(bench::placement_options options)
    {
        constexpr double chance = 0.005;
        for (const std::size_t kind : {std::size_t{0}, std::size_t{1}}) {
            options.byWork = false;
            const double before = inTime(options, kind);
            options.byWork = true;
            const double after = inTime(options, kind);
            BOOST_TEST(after >= before - chance, "kind " << kind << ": " << after << " in place of " << before);
            BOOST_TEST_MESSAGE("kind " << kind << ": " << after << " in place of " << before);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(placement_by_work_test, placement_by_work_fixture)

/// Guards against short requests that wait behind long ones because all count as equal.
BOOST_AUTO_TEST_CASE(load_twoKinds_moreInTimeThanByTypicalLatency)
{
    bench::placement_options options = twoKinds();
    const double after = inTime(options, 0);
    options.byWork = false;
    const double before = inTime(options, 0);
    BOOST_TEST(after > before + 0.01, after << " in place of " << before);
    checkNoWorse(twoKinds());
}

/// Guards against a service in which the long requests take most of the slots.
BOOST_AUTO_TEST_CASE(load_halfOfTheRequestsLong_moreInTimeThanByTypicalLatency)
{
    bench::placement_options options = twoKinds();
    options.requestsPerSecond = 110;
    options.kinds[0].share = options.kinds[1].share = 0.5;
    const double after = inTime(options, 0);
    options.byWork = false;
    BOOST_TEST(after > inTime(options, 0) + 0.02);
}

/// Guards against another choice where the routes cost the same: each number of the replay is equal.
BOOST_AUTO_TEST_CASE(load_kindsOfEqualCost_sameChoiceAsByTypicalLatency)
{
    bench::placement_options options = twoKinds();
    for (bench::placement_kind &kind : options.kinds) {
        kind.meanServiceTime = milliseconds(330);
        kind.latencyTarget = milliseconds(1'200);
    }
    const bench::placement_result after = run(options);
    options.byWork = false;
    const bench::placement_result before = run(options);
    BOOST_TEST(after.inTime == before.inTime);
    BOOST_TEST(after.p99Ms == before.p99Ms);
    BOOST_TEST(after.farShare == before.farShare);
}

BOOST_AUTO_TEST_CASE(load_hubsDie_noWorseThanByTypicalLatency)
{
    bench::placement_options options = twoKinds();
    options.requestsPerSecond = 120;
    options.hubsDieAt = seconds(5);
    checkNoWorse(options);
}

BOOST_AUTO_TEST_CASE(load_sumsOneSecondLate_noWorseThanByTypicalLatency)
{
    bench::placement_options options = twoKinds();
    options.requestsPerSecond = 120;
    options.sumsDelay = seconds(1);
    checkNoWorse(options);
}

BOOST_AUTO_TEST_CASE(load_thirdOfVmsRestart_noWorseThanByTypicalLatency)
{
    bench::placement_options options = twoKinds();
    options.sharesEstimates = false;
    options.restartAt = seconds(10);
    checkNoWorse(options);
}

/// Guards against estimates that stay behind when the short kind becomes as long as the other one.
BOOST_AUTO_TEST_CASE(load_costOfOneRouteTimesFive_noWorseThanByTypicalLatency)
{
    bench::placement_options options = twoKinds();
    options.requestsPerSecond = 70;
    options.costChangeAt = seconds(10);
    options.kinds[0].latencyTarget = seconds(2);
    checkNoWorse(options);
}

/// Guards against an instance's slowness that is taken for the cost of what runs there, and against one that never
/// gets requests again.
BOOST_AUTO_TEST_CASE(load_instancesSlow_avoidedAndUsedAgain)
{
    bench::placement_options options = twoKinds();
    options.requestsPerSecond = 120;
    options.length = seconds(60);
    options.slowInstances = 3;
    options.slowFrom = seconds(10);
    options.slowTo = seconds(30);
    checkNoWorse(options);
    const bench::placement_result result = run(options);
    BOOST_TEST_MESSAGE("slow: " << result.slowShareLate << ", then " << result.fromSlowShare);
    BOOST_TEST(result.slowShareLate < 0.075); // Half of their part, 3 of 20.
    BOOST_TEST(result.fromSlowShare > 0.075);
}

/// Guards against demand that moves between data centres and finds the far capacity only when callers wait.
BOOST_AUTO_TEST_CASE(load_demandOfDataCentresSwings_noWorseThanByTypicalLatency)
{
    bench::placement_options options = twoKinds();
    options.requestsPerSecond = 150;
    options.swing = 0.5;
    options.length = seconds(39);
    checkNoWorse(options);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
