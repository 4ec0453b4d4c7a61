#include <guavafront/coordination/registry/registry.h>

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

/// Registry of a VM that knows an instance by another VM's report.
struct departure_fixture {
    static constexpr vm_id registrar{2};
    registry state{.self = {1}};
    announcement known{.instance = {7},
                       .name = "i-7",
                       .processStartMs = 1'000,
                       .sequence = 5,
                       .service = "rutas",
                       .ip = "10.0.0.7",
                       .port = 80,
                       .dataCentre = "occ-a",
                       .lease = 60s};

    instance_state stateOf(std::uint64_t instance) const
    {
        return findInstance(state, {instance})->last.state;
    }

    static departure drains(std::uint64_t sequence)
    {
        return {.name = "i-7", .processStartMs = 1'000, .sequence = sequence, .state = instance_state::Draining};
    }

    static departure leaves()
    {
        return {.name = "i-7", .processStartMs = 1'000};
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(departure_test, departure_fixture)

BOOST_AUTO_TEST_CASE(leaving_knownInstance_laterAnnouncementsDontCount)
{
    learn(state, registrar, known, instant(1s));
    const std::uint64_t before = state.services[0].generation;
    BOOST_TEST(depart(state, leaves(), instant(2s)).changed);
    BOOST_TEST((stateOf(7) == instance_state::Leaving));
    BOOST_TEST(state.services[0].generation > before);
    BOOST_TEST((findInstance(state, {7})->registrar == registrar));
    known.sequence = 9;
    learn(state, {3}, known, instant(3s));
    BOOST_TEST((stateOf(7) == instance_state::Leaving));
    BOOST_TEST(!depart(state, leaves(), instant(4s)).changed);
}

BOOST_AUTO_TEST_CASE(draining_olderAnnouncementComesLater_staysDraining)
{
    learn(state, registrar, known, instant(1s));
    BOOST_TEST(depart(state, drains(6), instant(2s)).changed);
    learn(state, {3}, known, instant(3s));
    BOOST_TEST((stateOf(7) == instance_state::Draining));
}

BOOST_AUTO_TEST_CASE(draining_newerAnnouncementKnown_ignored)
{
    learn(state, registrar, known, instant(1s));
    BOOST_TEST(!depart(state, drains(4), instant(2s)).changed);
    BOOST_TEST((stateOf(7) == instance_state::Serving));
}

BOOST_AUTO_TEST_CASE(departure_instanceIsRegisteredHere_returnedToPublish)
{
    announce(state, known, instant(1s));
    const departure_result result = depart(state, leaves(), instant(2s));
    BOOST_TEST_REQUIRE(result.toPublish.has_value());
    BOOST_TEST((result.toPublish->state == instance_state::Leaving));
}

BOOST_AUTO_TEST_CASE(departure_unknownInstance_appliedWhenItIsReported)
{
    BOOST_TEST(!depart(state, drains(6), instant(1s)).changed);
    BOOST_TEST(!depart(state, leaves(), instant(1s)).changed);
    BOOST_TEST(
        (learn(state, registrar, known, instant(2s)) == registry_change::Learned)); // Its registrar publishes it.
    BOOST_TEST((stateOf(7) == instance_state::Leaving));
}

BOOST_AUTO_TEST_CASE(departure_laterProcessOfTheName_keepsServing)
{
    known.processStartMs = 2'000;
    learn(state, registrar, known, instant(1s));
    BOOST_TEST(!depart(state, leaves(), instant(2s)).changed);
    BOOST_TEST((stateOf(7) == instance_state::Serving));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
