#include <guavafront/coordination/work/work_estimates.h>

#include <boost/test/unit_test.hpp>

#include <random>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

/// Estimates, the clock of the samples, and two routes of one service.
struct work_estimates_fixture {
    work_estimates state;
    instant now{100s};
    work_key shortKind{.service = "booking", .route = {1}, .account = {7}};
    work_key longKind{.service = "booking", .route = {2}, .account = {7}};

    /// Records count requests of equal service time, interval apart.
    void record(const work_key &key, duration took, int count, duration interval = 100ms)
    {
        for (int done = 0; done < count; ++done) {
            now += interval;
            recordWork(state, key, took, now);
        }
    }

    /// Whether a time is within a fifth of the expected one.
    static bool isNear(duration time, duration expected)
    {
        return time * 5 > expected * 4 && time * 5 < expected * 6;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(work_estimates_test, work_estimates_fixture)

/// Guards against an estimate of nothing: what is unknown costs the default, an unknown route what its service does.
BOOST_AUTO_TEST_CASE(estimate_nothingObserved_fallsBackToServiceThenDefault)
{
    BOOST_TEST((estimateWork(state, shortKind) == defaultWork));
    BOOST_TEST(!isWorkKnown(state, shortKind));
    record(longKind, 1000ms, 10);
    BOOST_TEST(isNear(estimateWork(state, shortKind).mean, 1000ms));
    BOOST_TEST((estimateWork(state, {.service = "other", .route = {3}, .account = {}}) == defaultWork));
}

/// Guards against one typical time for all requests of a service.
BOOST_AUTO_TEST_CASE(estimate_twoKindsOfOneService_keptApart)
{
    for (int round = 0; round < 40; ++round) {
        record(shortKind, 180ms, 3);
        record(longKind, 1000ms, 1);
    }
    BOOST_TEST(isNear(estimateWork(state, shortKind).mean, 180ms));
    BOOST_TEST(isNear(estimateWork(state, longKind).mean, 1000ms));
}

/// Guards against a mean that a hung request decides, and a tail that ignores the long ones.
BOOST_AUTO_TEST_CASE(estimate_longTail_meanRobustAndTailAboveIt)
{
    for (int round = 0; round < 10; ++round) {
        record(shortKind, 100ms, 18);
        record(shortKind, 500ms, 2);
    }
    const work_estimate before = estimateWork(state, shortKind);
    BOOST_TEST(isNear(before.mean, 140ms));
    BOOST_TEST(isNear(before.tail, 500ms));
    record(shortKind, 30s, 1);
    BOOST_TEST((estimateWork(state, shortKind).mean < before.mean * 11 / 10));
}

/// Guards against estimates that stay at a former cost.
BOOST_AUTO_TEST_CASE(estimate_costTimesFive_followedWithinTwentySeconds)
{
    record(shortKind, 200ms, 200);
    record(shortKind, 1000ms, 200);
    BOOST_TEST((estimateWork(state, shortKind).mean > 700ms));
    record(shortKind, 200ms, 400);
    BOOST_TEST((estimateWork(state, shortKind).mean < 300ms));
}

/// Guards against one estimate for accounts and body sizes that differ, and against differences by chance.
BOOST_AUTO_TEST_CASE(estimate_accountCostsMore_usedOnlyWhileItExplainsADifference)
{
    work_key costly = shortKind;
    costly.account = {8};
    for (int round = 0; round < 60; ++round) {
        record(shortKind, 100ms, 2);
        record(costly, 400ms, 1);
    }
    BOOST_TEST(isNear(estimateWork(state, costly).mean, 400ms));
    BOOST_TEST((estimateWork(state, shortKind).mean < 140ms));
    for (int round = 0; round < 100; ++round) {
        record(shortKind, 100ms, 2);
        record(costly, 100ms, 1);
    }
    BOOST_TEST((estimateWork(state, costly).mean == estimateWork(state, shortKind).mean));
}

BOOST_AUTO_TEST_CASE(estimate_largeBodies_costMore)
{
    work_key large = shortKind;
    large.bodyBytes = 1'000'000;
    for (int round = 0; round < 60; ++round) {
        record(shortKind, 100ms, 3);
        record(large, 500ms, 1);
    }
    BOOST_TEST((estimateWork(state, large).mean > 2 * estimateWork(state, shortKind).mean));
}

/// Guards against unbounded memory with many services, routes and accounts.
BOOST_AUTO_TEST_CASE(record_manyKeys_memoryBoundedAndRecentOnesKept)
{
    std::mt19937 random(1); // NOLINT(cert-msc32-c,cert-msc51-cpp): reproducible.
    for (std::uint32_t number = 0; number < 20'000; ++number) {
        const std::string service = "service" + std::to_string(number % 1'000);
        const work_key key{.service = service,
                           .route = {number % 1'000 + 10},
                           .account = {static_cast<std::uint32_t>(random() % 5'000)}};
        record(key, 10ms, 1);
    }
    record(shortKind, 180ms, 5);
    BOOST_TEST(state.services.size() <= 256U);
    BOOST_TEST(state.routes.size() <= 512U);
    BOOST_TEST(state.traits.size() <= 1'024U);
    BOOST_TEST(isNear(estimateWork(state, shortKind).mean, 180ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
