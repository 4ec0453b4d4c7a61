#include <guavafront/coordination/registry/registry.h>

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

/// Registry of VM 1 with instance 7, announced to VM 1 at time 0, and instance 8, whose registrar is VM 2.
struct registry_fixture {
    registry state{.self = {1}};
    announcement own{.instance = {7}, .sequence = 1, .service = "cobros", .ip = "10.0.0.7", .port = 80, .lease = 3s};
    announcement others{.instance = {8}, .sequence = 1, .service = "cobros", .ip = "10.0.0.8", .port = 80, .lease = 3s};

    registry_fixture()
    {
        announce(state, own, instant(0s));
        learn(state, {2}, others, instant(0s));
    }

    /// Number of known instances of the service "cobros".
    std::size_t known() const
    {
        return instancesOf(state, "cobros").size();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(registry_test, registry_fixture)

BOOST_AUTO_TEST_CASE(announce_sameContent_renewsWithoutPublishing)
{
    own.sequence = 2;
    own.load = 0.5F;
    BOOST_TEST((announce(state, own, instant(2s)) == registry_change::Renewed));
    BOOST_TEST(expire(state, instant(4s)).empty());
    BOOST_TEST(findInstance(state, {7})->last.load == 0.5F);
}

BOOST_AUTO_TEST_CASE(announce_leaving_publishedAndKeptAgainstOldNews)
{
    announcement leaving = own;
    leaving.sequence = 3;
    leaving.state = instance_state::Leaving;
    BOOST_TEST((announce(state, leaving, instant(1s)) == registry_change::Changed));
    own.sequence = 2;
    BOOST_TEST((announce(state, own, instant(1s)) == registry_change::None));
    BOOST_TEST((findInstance(state, {7})->last.state == instance_state::Leaving));
}

BOOST_AUTO_TEST_CASE(deregister_registrarJustRestarted_leavingOnceItIsKnown)
{
    registry restarted{.self = {3}};
    others.name = "i-8";
    others.processStartMs = 1'000;
    BOOST_TEST(!deregister(restarted, "i-8", 1'000, instant(1s)).has_value());
    BOOST_TEST((learn(restarted, {2}, others, instant(2s)) == registry_change::Changed));
    BOOST_TEST((findInstance(restarted, {8})->last.state == instance_state::Leaving));
    BOOST_TEST((findInstance(restarted, {8})->registrar == restarted.self));
    forget(restarted, {3}, {8});
    BOOST_TEST((learn(restarted, {2}, others, instant(2s)) == registry_change::Learned));
    BOOST_TEST((findInstance(restarted, {8})->last.state == instance_state::Leaving));
}

BOOST_AUTO_TEST_CASE(deregister_unknownThenBornAgain_newProcessServes)
{
    registry restarted{.self = {3}};
    others.name = "i-8";
    others.processStartMs = 2'000;
    deregister(restarted, "i-8", 1'000, instant(1s));
    BOOST_TEST((learn(restarted, {2}, others, instant(2s)) == registry_change::Learned));
    BOOST_TEST((findInstance(restarted, {8})->last.state == instance_state::Serving));
}

BOOST_AUTO_TEST_CASE(expire_silentOwnInstance_withdrawn)
{
    const std::vector<registered_instance> removed = expire(state, instant(3s));
    BOOST_TEST_REQUIRE(removed.size() == 1U);
    BOOST_TEST((removed[0].last.instance == instance_id{7}));
    BOOST_TEST((removed[0].registrar == state.self));
    BOOST_TEST(known() == 1);
    BOOST_TEST(findInstance(state, {7}) == nullptr);
}

BOOST_AUTO_TEST_CASE(learn_higherSequenceElsewhere_handedOver)
{
    own.sequence = 2;
    BOOST_TEST((learn(state, {2}, own, instant(1s)) == registry_change::HandedOver));
    BOOST_TEST((forget(state, {1}, {7}) == registry_change::None));
    BOOST_TEST(known() == 2);
    BOOST_TEST((findInstance(state, {7})->servingSince == instant(0s)));
}

BOOST_AUTO_TEST_CASE(learn_sameSequence_presentRegistrarStays)
{
    BOOST_TEST((learn(state, {3}, others, instant(1s)) == registry_change::None));
    BOOST_TEST((forget(state, {3}, {8}) == registry_change::None));
    BOOST_TEST((forget(state, {2}, {8}) == registry_change::Learned));
    BOOST_TEST(known() == 1);
}

BOOST_AUTO_TEST_CASE(onRegistrarLost_noNewRegistrar_expiresAfterOneLease)
{
    onRegistrarLost(state, {2}, instant(10s));
    onRegistrarLost(state, {2}, instant(12s));
    expire(state, instant(12s));
    BOOST_TEST(findInstance(state, {8}) != nullptr);
    expire(state, instant(13s));
    BOOST_TEST(findInstance(state, {8}) == nullptr);
}

BOOST_AUTO_TEST_CASE(onRegistrarLost_announcedElsewhere_staysWithoutGap)
{
    onRegistrarLost(state, {2}, instant(10s));
    others.sequence = 2;
    learn(state, {3}, others, instant(11s));
    expire(state, instant(20s));
    BOOST_TEST((findInstance(state, {8})->registrar == vm_id{3}));
}

BOOST_AUTO_TEST_CASE(onRegistrarReachable_afterLoss_leaseStops)
{
    onRegistrarLost(state, {2}, instant(10s));
    onRegistrarReachable(state, {2});
    expire(state, instant(20s));
    BOOST_TEST(findInstance(state, {8}) != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
