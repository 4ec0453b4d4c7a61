#include <guavafront/coordination/loads/fleet_loads.h>

#include <boost/test/unit_test.hpp>

#include <vector>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

struct fleet_loads_fixture {
    fleet_loads state;
    instant now{1'000s};

    void hear(std::uint32_t requests)
    {
        recordSums(state, std::vector<instance_load>{{.instance = {7}, .requests = requests, .age = {}}}, now);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(fleet_loads_test, fleet_loads_fixture)

BOOST_AUTO_TEST_CASE(sums_changed_lastOneCounts)
{
    hear(3);
    hear(5);
    BOOST_TEST(requestsAt(state, {7}) == 5U);
    hear(0);
    BOOST_TEST(requestsAt(state, {7}) == 0U);
    BOOST_TEST(state.requestsByInstance.empty());
}

/// Guards against a restarted VM that takes the loads that it hasn't heard of for none.
BOOST_AUTO_TEST_CASE(current_justStarted_onlyAfterTheLearningTime)
{
    BOOST_TEST(!areSumsCurrent(state, now));
    hear(1);
    BOOST_TEST(!areSumsCurrent(state, now));
    now += 1s;
    BOOST_TEST(areSumsCurrent(state, now));
}

/// Guards against loads of a dead hub that count for ever, and against doubt in a hub that has nothing to say.
BOOST_AUTO_TEST_CASE(current_noSums_onlyWhileNoneIsDue)
{
    hear(1);
    now += 1h;
    BOOST_TEST(areSumsCurrent(state, now));
    expectSums(state, now);
    now += 1900ms;
    expectSums(state, now);
    BOOST_TEST(areSumsCurrent(state, now));
    now += 100ms;
    BOOST_TEST(!areSumsCurrent(state, now));
    hear(1);
    BOOST_TEST(areSumsCurrent(state, now));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
