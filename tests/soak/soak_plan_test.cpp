#include "soak/soak_configuration.h"
#include "soak/soak_plan.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace guavafront
{

namespace
{

struct plan_fixture {
    static constexpr std::uint64_t seedCount = 200; ///< Seeds whose plans are looked at.

    static bool losesDisk(fault_kind kind)
    {
        constexpr std::array kinds{fault_kind::WipeControl, fault_kind::ReplaceControl, fault_kind::WipeWhileOthersDown,
                                   fault_kind::ReplaceWhileOthersDown, fault_kind::WipeWhileEverythingDown};
        return std::ranges::find(kinds, kind) != kinds.end();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(soak_plan_test, plan_fixture)

BOOST_AUTO_TEST_CASE(planOf_sameSeed_samePlan)
{
    BOOST_TEST(describe(planOf(7)) == describe(planOf(7)));
    BOOST_TEST(describe(planOf(7)) != describe(planOf(8)));
}

BOOST_AUTO_TEST_CASE(planOf_anySeed_lossesWithinTheTolerance)
{
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        for (const planned_fault &fault : planOf(seed).faults) {
            // CatchUpS; RecoverS where a disk is lost while the others are down, too.
            const bool overlap =
                fault.kind == fault_kind::WipeWhileOthersDown || fault.kind == fault_kind::ReplaceWhileOthersDown;
            BOOST_TEST((fault.pause >= std::chrono::seconds(overlap ? 15 : 4)), "seed " << seed);
        }
    }
}

BOOST_AUTO_TEST_CASE(planOf_manySeeds_allFaultsPlayed)
{
    std::set<fault_kind> kinds;
    std::set<fault_kind> lost;
    std::set<fault_kind> finals;
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        const soak_plan plan = planOf(seed);
        for (const planned_fault &fault : plan.faults) {
            kinds.insert(fault.kind);
            if (losesDisk(fault.kind) && fault.leader) {
                lost.insert(fault.kind);
            }
        }
        finals.insert(plan.finalFault.kind);
    }
    BOOST_TEST(kinds.size() == 12U);
    BOOST_TEST(lost.size() == 4U);
    BOOST_TEST(finals.size() == 5U);
}

BOOST_AUTO_TEST_CASE(planOf_anySeed_versionsRiseAndRoutesDontReturn)
{
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        std::uint64_t version = 0;
        std::set<int> held;
        std::set<int> dropped;
        for (const planned_change &change : planOf(seed).changes) {
            if (change.kind == change_kind::OtherContent) {
                continue;
            }
            BOOST_TEST(change.version > version, "seed " << seed);
            version = change.version;
            const std::set<int> routes(change.routes.begin(), change.routes.end());
            std::ranges::set_difference(held, routes, std::inserter(dropped, dropped.end()));
            held = routes;
            BOOST_TEST(std::ranges::none_of(routes, [&](int route) { return dropped.contains(route); }));
        }
    }
}

BOOST_AUTO_TEST_CASE(documentOf_eachDefect_differsFromTheValidOne)
{
    const std::vector<std::string> hosts{"127.0.0.1"};
    planned_change change{.version = 3, .routes = {1}};
    const std::string valid = documentOf(change, change.version, hosts);
    BOOST_TEST(nlohmann::json::parse(valid)["Listeners"][0]["RuleSet"].size() == 3U);
    change.kind = change_kind::Invalid;
    std::set<std::string> documents{valid};
    for (std::uint8_t flaw = 0; flaw < defectCount; ++flaw) {
        change.flaw = static_cast<defect>(flaw);
        documents.insert(documentOf(change, change.version, hosts));
    }
    BOOST_TEST(documents.size() == 1U + defectCount);
}

// Guards against evacuations that end before anything can be checked, and against orders so close that one counts as a
// copy of an earlier one.
BOOST_AUTO_TEST_CASE(planOf_anySeed_evacuationsCanBeChecked)
{
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        const soak_plan plan = planOf(seed);
        BOOST_TEST(!plan.evacuations.empty(), "seed " << seed);
        for (std::size_t index = 0; index < plan.evacuations.size(); ++index) {
            const planned_evacuation &each = plan.evacuations[index];
            BOOST_TEST((each.length >= std::chrono::seconds(6)), "seed " << seed);
            BOOST_TEST((index == 0
                        || each.at >= plan.evacuations[index - 1].at + plan.evacuations[index - 1].length
                                          + std::chrono::seconds(5)),
                       "seed " << seed);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
