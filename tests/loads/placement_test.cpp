#include "model/placement_run.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace guavafront
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Replays the largest service of the deployment on virtual time.
struct placement_fixture {
    static constexpr double target = 0.99; ///< Least share answered within the target latency while capacity is left.

    /// Load that takes two thirds of the slots, since a third of the instances are missing.
    static bench::placement_options thirdOut(std::uint64_t seed)
    {
        return {.instances = {4, 5, 4}, .requestsPerSecond = 105, .seed = seed};
    }

    static double inTime(const bench::placement_result &result)
    {
        return static_cast<double>(result.inTime) / static_cast<double>(result.requests);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(placement_test, placement_fixture)

BOOST_AUTO_TEST_CASE(load_thirdOfInstancesOut_inTimeAndNoneRefused)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const bench::placement_result result = run(thirdOut(seed));
        BOOST_TEST(inTime(result) >= target, "seed " << seed << ": " << inTime(result));
        BOOST_TEST(result.refused == 0U, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(load_manyUsersAtOnce_inTimeInTheWorstSeconds)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        bench::placement_options options{.requestsPerSecond = 105, .burstFactor = 1.7, .seed = seed};
        options.burstFrom = seconds(10);
        options.burstTo = seconds(13);
        const bench::placement_result result = run(options);
        BOOST_TEST(inTime(result) >= target, "seed " << seed << ": " << inTime(result));
        BOOST_TEST(result.worstTwoSeconds >= 0.95, "seed " << seed << ": " << result.worstTwoSeconds);
    }
}

BOOST_AUTO_TEST_CASE(load_instancesOwnReportsOnly_moreLateThanWithSums)
{
    std::uint64_t lateBySums = 0;
    std::uint64_t lateByOwnReports = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        bench::placement_options options = thirdOut(seed);
        lateBySums += run(options).late;
        options.loadSource = bench::load_source::InstanceReports;
        lateByOwnReports += run(options).late;
    }
    BOOST_TEST(lateByOwnReports > lateBySums); // Otherwise the replay would be blind to the benefit of sums.
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
