#include "load/load_plan.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace guavafront
{

namespace
{

/// Plan of 20 s with two accounts: one sends 100 requests per second and is entitled to 50 with a burst of 10, the
/// other sends 5 and has no limit.
struct load_plan_fixture {
    load_plan plan{.accounts = {{.name = "large", .ratePerSecond = 100, .limitPerSecond = 50, .limitBurst = 10},
                                {.name = "small", .ratePerSecond = 5}},
                   .requests = {{.method = "GET", .target = "/a", .weight = 3}, {.method = "GET", .target = "/b"}},
                   .entryTargetCount = 2,
                   .length = std::chrono::seconds(20),
                   .seed = 7};

    static std::size_t countOf(const std::vector<arrival> &arrivals, auto condition)
    {
        return static_cast<std::size_t>(std::ranges::count_if(arrivals, condition));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(load_plan_test, load_plan_fixture)

BOOST_AUTO_TEST_CASE(arrivals_sameSeed_identical)
{
    BOOST_TEST((scheduleArrivals(plan) == scheduleArrivals(plan)));
    const auto first = scheduleArrivals(plan);
    plan.seed = 8;
    BOOST_TEST((first != scheduleArrivals(plan)));
}

BOOST_AUTO_TEST_CASE(arrivals_twoAccounts_orderedAtTheirRates)
{
    const auto arrivals = scheduleArrivals(plan);
    BOOST_TEST(std::ranges::is_sorted(arrivals, {}, &arrival::at));
    BOOST_TEST((arrivals.back().at < plan.length));
    const std::size_t large = countOf(arrivals, [](const arrival &each) { return each.account == 0; });
    BOOST_TEST(large > 1'800U); // 2000 expected; the standard deviation of a Poisson count is 45.
    BOOST_TEST(large < 2'200U);
    const std::size_t first = countOf(arrivals, [](const arrival &each) { return each.request == 0; });
    BOOST_TEST(first > arrivals.size() * 7 / 10);
    BOOST_TEST(first < arrivals.size() * 8 / 10);
}

BOOST_AUTO_TEST_CASE(withinRate_aboveLimit_rateAndBurstOverTheLength)
{
    const auto arrivals = scheduleArrivals(plan);
    const std::size_t within =
        countOf(arrivals, [](const arrival &each) { return each.account == 0 && each.withinRate; });
    constexpr std::size_t entitled = 50 * 20 + 10;
    BOOST_TEST(within <= entitled);
    BOOST_TEST(within > entitled - 20); // The account sends twice its limit, so nearly every token is used.
    BOOST_TEST(countOf(arrivals, [](const arrival &each) { return each.account == 1 && !each.withinRate; }) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
