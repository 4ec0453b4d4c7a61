#include "wire/catch_up_codec.h"

#include <guavafront/coordination/core/coordination_error.h>
#include <guavafront/coordination/registry/catch_up.h>

#include <boost/test/unit_test.hpp>

#include <string>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

/// Registry of a hub that is the registrar of some instances, and that of an entry VM that has just started.
struct catch_up_fixture {
    static constexpr std::uint64_t instances = 40;
    registry hub{.self = {1}};
    registry started{.self = {2}};

    catch_up_fixture()
    {
        for (std::uint64_t number = 1; number <= instances; ++number) {
            announce(hub, instanceNumber(number), instant(1s));
        }
    }

    static announcement instanceNumber(std::uint64_t number)
    {
        return {.instance = {number},
                .name = "i-" + std::to_string(number),
                .sequence = 1,
                .service = number % 2 == 0 ? "rutas" : "cobros",
                .ip = "10.0.0." + std::to_string(number),
                .port = 80,
                .dataCentre = "occ-a",
                .lease = 3s};
    }

    /// Sends one query of the started VM to the hub and applies the encoded answer. Returns the number of instances
    /// sent.
    std::size_t queryHub()
    {
        const instances_list list{instancesForCatchUp(hub, registryFingerprint(started))};
        const catch_up_message decoded = decodeCatchUp(encodeCatchUp(list));
        for (const instance_record &each : std::get<instances_list>(decoded).instances) {
            learn(started, each.registrar, each.last, instant(2s));
        }
        return list.instances.size();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(catch_up_test, catch_up_fixture)

BOOST_AUTO_TEST_CASE(query_afterStart_allInstancesThenNothingMore)
{
    BOOST_TEST(queryHub() == instances);
    BOOST_TEST(instancesOf(started, "rutas").size() == instances / 2);
    BOOST_TEST(queryHub() == 0U);
}

BOOST_AUTO_TEST_CASE(query_leavingWasMissed_sentAgain)
{
    queryHub();
    deregister(hub, "i-4", 0, instant(2s));
    BOOST_TEST(queryHub() == instances);
    BOOST_TEST((findInstance(started, {4})->last.state == instance_state::Leaving));
}

BOOST_AUTO_TEST_CASE(fingerprint_learnedInAnotherOrder_same)
{
    for (std::uint64_t number = instances; number >= 1; --number) {
        learn(started, {1}, instanceNumber(number), instant(1s));
    }
    BOOST_TEST(registryFingerprint(started) == registryFingerprint(hub));
}

BOOST_AUTO_TEST_CASE(queries_overTime_oftenAtFirstThenRarely)
{
    catch_up state;
    int soon = 0;
    int later = 0;
    for (instant now(5s); now < instant(35s); now += 50ms) {
        (now < instant(8s) ? soon : later) += takeDueQuery(state, now) ? 1 : 0;
    }
    BOOST_TEST(soon >= 10);
    BOOST_TEST(soon <= 13);
    BOOST_TEST(later <= 4);
}

BOOST_AUTO_TEST_CASE(message_bytesChanged_refusedOrRead)
{
    const auto whole = encodeCatchUp(instances_list{instancesForCatchUp(hub, 0)});
    for (std::size_t place = 0; place < whole.size(); ++place) {
        std::vector<std::byte> changed = whole;
        changed[place] ^= std::byte{0x15};
        try {
            decodeCatchUp(changed);
        } catch (const coordination_error &fault) {
            BOOST_TEST((fault.code() != result_code::Ok));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
