#include "departures/departing_fleet.h"

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

struct departing_fleet_fixture {
    static constexpr std::uint64_t firstSeed = 1;
    static constexpr std::uint64_t lastSeed = 100;
    static constexpr std::size_t instanceCount = 24;

    static void checkDepartures(cut_links links)
    {
        for (std::uint64_t seed = firstSeed; seed <= lastSeed; ++seed) {
            departing_fleet fleet(seed, instanceCount, links);
            fleet.run(60s);
            BOOST_TEST(fleet.late.empty(), "seed " << seed << ": " << fleet.late.size() << " times, first "
                                                   << (fleet.late.empty() ? "" : fleet.late.front()));
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(departing_fleet_test, departing_fleet_fixture)

// Guards against a departed instance that an entry VM serves again by the older news of a VM that was away.
BOOST_AUTO_TEST_CASE(departures_controlVmsInTrouble_noInstanceServedAgain)
{
    checkDepartures(cut_links::KeepMessages);
}

// Guards against a departure that an entry VM is never told, since the message to it was lost.
BOOST_AUTO_TEST_CASE(departures_messagesOnCutLinksLost_noInstanceServedLate)
{
    checkDepartures(cut_links::LoseMessages);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
