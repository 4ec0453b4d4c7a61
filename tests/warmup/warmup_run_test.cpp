#include "model/warmup_run.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace guavafront
{

namespace
{

using bench::warmup_options;
using bench::warmup_way;

/// Replays instances that become cold under 1,000 requests a second from 124 VMs, on virtual time.
struct warmup_run_fixture {
    static constexpr double allowed = 5.8 * 1.5 + 8; ///< Most requests for a cold instance in any second.

    /// Checks the limit with several seeds, and that each cold instance got a request within 2 s.
    static void check(warmup_options options)
    {
        for (options.seed = 1; options.seed <= 3; ++options.seed) {
            const bench::warmup_result result = bench::run(options);
            BOOST_TEST(result.mostInSecond <= allowed, "seed " << options.seed << ": " << result.mostInSecond);
            BOOST_TEST(result.starved == 0U, "seed " << options.seed << ": " << result.starved);
            BOOST_TEST(result.refused == 0, "seed " << options.seed << ": " << result.refused);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(warmup_run_test, warmup_run_fixture)

BOOST_AUTO_TEST_CASE(load_thirdOfTheInstancesCold_limitKept)
{
    check({});
    check({.wholeDataCentre = true});
}

// The old decision exceeds the limit in the same replay, so that the replay isn't blind to it.
BOOST_AUTO_TEST_CASE(load_dataCentreColdWithoutParts_limitExceeded)
{
    std::uint32_t most = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        most =
            std::max(most, bench::run({.way = warmup_way::None, .wholeDataCentre = true, .seed = seed}).mostInSecond);
    }
    BOOST_TEST(most > allowed);
}

BOOST_AUTO_TEST_CASE(load_halfOfTheInstancesCold_limitKept)
{
    check({.coldShare = 0.5});
}

// Cut-off VMs hear neither of cold instances nor of loads and go on sending.
BOOST_AUTO_TEST_CASE(load_vmsCutOff_limitKept)
{
    check({.cutOff = 8});
    check({.cutOffDataCentre = true});
}

BOOST_AUTO_TEST_CASE(load_vmsRestarted_limitKept)
{
    check({.restarted = 8});
}

// Senders that die aren't replaced before the others notice it.
BOOST_AUTO_TEST_CASE(load_sendersDie_limitKeptAndShareTaken)
{
    check({.lost = 12});
}

BOOST_AUTO_TEST_CASE(load_viewsOfTheFleetDiffer_limitKept)
{
    check({.viewGaps = 0.1});
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
