#include <guavafront/coordination/registry/registry.h>

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

/// Registry of a VM that was told that an instance departs, when its registrar was another VM.
struct departed_instance_fixture {
    static constexpr vm_id firstRegistrar{2};
    static constexpr vm_id secondRegistrar{3};
    registry state{.self = {1}};
    announcement ready{.instance = {7},
                       .name = "i-7",
                       .processStartMs = 1'000,
                       .sequence = 10,
                       .service = "rutas",
                       .ip = "10.0.0.7",
                       .port = 80,
                       .dataCentre = "occ-a",
                       .lease = 60s};

    static departure departs(instance_state how)
    {
        return {.name = "i-7", .processStartMs = 1'000, .sequence = 12, .state = how};
    }

    /// Whether the instance takes requests after news of it that is older than its departure.
    bool servesAfterOlderNews(instant now)
    {
        announcement older = ready;
        older.sequence = 11;
        learn(state, secondRegistrar, older, now);
        const registered_instance *known = findInstance(state, ready.instance);
        return known && known->last.state == instance_state::Serving;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(departed_instance_test, departed_instance_fixture)

// Guards against a departure that is forgotten with the entry of the instance.
BOOST_AUTO_TEST_CASE(departed_withdrawnThenOlderNews_takesNoRequests)
{
    for (const instance_state how : {instance_state::Draining, instance_state::Leaving}) {
        learn(state, firstRegistrar, ready, instant(1s));
        depart(state, departs(how), instant(2s));
        forget(state, firstRegistrar, ready.instance);
        BOOST_TEST(!servesAfterOlderNews(instant(3s)));
        state = {.self = {1}};
    }
}

BOOST_AUTO_TEST_CASE(departed_registrarLostAndLeaseEndedThenOlderNews_takesNoRequests)
{
    learn(state, firstRegistrar, ready, instant(1s));
    depart(state, departs(instance_state::Leaving), instant(2s));
    onRegistrarLost(state, firstRegistrar, instant(3s));
    expire(state, instant(64s));
    BOOST_TEST(findInstance(state, ready.instance) == nullptr);
    BOOST_TEST(!servesAfterOlderNews(instant(65s)));
}

BOOST_AUTO_TEST_CASE(departedBeforeItsAnnouncement_withdrawnThenOlderNews_takesNoRequests)
{
    depart(state, departs(instance_state::Draining), instant(1s));
    BOOST_TEST(!servesAfterOlderNews(instant(2s)));
    forget(state, secondRegistrar, ready.instance);
    BOOST_TEST(!servesAfterOlderNews(instant(3s)));
    expire(state, instant(64s)); // Its registrar may have withdrawn it long ago.
    BOOST_TEST(findInstance(state, ready.instance) == nullptr);
}

BOOST_AUTO_TEST_CASE(drainingByAnnouncement_withdrawnThenOlderNews_takesNoRequests)
{
    ready.sequence = 12;
    ready.state = instance_state::Draining;
    learn(state, firstRegistrar, ready, instant(1s));
    forget(state, firstRegistrar, ready.instance);
    ready.state = instance_state::Serving;
    BOOST_TEST(!servesAfterOlderNews(instant(2s)));
}

BOOST_AUTO_TEST_CASE(draining_newerAnnouncement_takesRequestsAgain)
{
    learn(state, firstRegistrar, ready, instant(1s));
    depart(state, departs(instance_state::Draining), instant(2s));
    ready.sequence = 13;
    learn(state, secondRegistrar, ready, instant(3s));
    BOOST_TEST((findInstance(state, ready.instance)->last.state == instance_state::Serving));
    forget(state, secondRegistrar, ready.instance);
    learn(state, secondRegistrar, ready, instant(4s));
    BOOST_TEST((findInstance(state, ready.instance)->last.state == instance_state::Serving));
}

BOOST_AUTO_TEST_CASE(leavingByAnnouncement_newerAnnouncement_takesRequestsAgain)
{
    ready.state = instance_state::Leaving;
    learn(state, firstRegistrar, ready, instant(1s));
    BOOST_TEST((findInstance(state, ready.instance)->last.state == instance_state::Leaving));
    ready.state = instance_state::Serving;
    ready.sequence = 11;
    learn(state, firstRegistrar, ready, instant(2s));
    BOOST_TEST((findInstance(state, ready.instance)->last.state == instance_state::Serving));
    depart(state, departs(instance_state::Leaving), instant(3s));
    ready.sequence = 20;
    learn(state, secondRegistrar, ready, instant(4s));
    BOOST_TEST((findInstance(state, ready.instance)->last.state == instance_state::Leaving));
}

BOOST_AUTO_TEST_CASE(departed_laterProcessOfTheName_takesRequests)
{
    learn(state, firstRegistrar, ready, instant(1s));
    depart(state, departs(instance_state::Leaving), instant(2s));
    announcement later = ready;
    later.instance = {8};
    later.processStartMs = 2'000;
    later.sequence = 1;
    learn(state, secondRegistrar, later, instant(3s));
    BOOST_TEST((findInstance(state, later.instance)->last.state == instance_state::Serving));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
