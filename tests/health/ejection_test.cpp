#include <guavafront/coordination/health/ejection.h>
#include <guavafront/coordination/health/shared_evidence.h>

#include <boost/test/unit_test.hpp>

#include <array>
#include <random>

namespace guavafront
{

namespace
{

constexpr std::uint32_t floorPercent = 70;

/// Reports of three VMs in data centre a and of one in b, about the instances 1 and 2.
struct ejection_fixture {
    shared_evidence evidence;

    ejection_fixture()
    {
        using enum suspicion_level;
        putReport(evidence, {1}, {.dataCentre = "a", .suspicions = {{{1}, Held}, {{2}, Held}}});
        putReport(evidence, {2}, {.dataCentre = "a", .suspicions = {{{1}, Suspect}}});
        putReport(evidence, {3}, {.dataCentre = "a", .suspicions = {{{1}, Hint}}});
        putReport(evidence, {4}, {.dataCentre = "b", .suspicions = {{{2}, Held}}, .consents = {{2}}});
    }

    static ejection_request request(std::uint64_t id, ejection_basis basis, bool here = true)
    {
        return {.instance = {id}, .slots = 4, .basis = basis, .appliesHere = here};
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ejection_test, ejection_fixture)

BOOST_AUTO_TEST_CASE(summarizeEvidence_severalDataCentres_summedSeparately)
{
    BOOST_TEST(summarizeEvidence(evidence, {1}, "a", {.minReporters = 3}).corroboratedInDataCentre);
    const evidence_summary summaryInB = summarizeEvidence(evidence, {1}, "b", {.minReporters = 3});
    BOOST_TEST(!summaryInB.corroboratedInDataCentre);
    BOOST_TEST(summaryInB.corroboratedAnywhere);
    BOOST_TEST(summaryInB.consents == 0);
}

BOOST_AUTO_TEST_CASE(summarizeEvidence_oneVmInEachDataCentre_notCorroborated)
{
    const evidence_summary summary = summarizeEvidence(evidence, {2}, "a", {.minReporters = 2});
    BOOST_TEST(!summary.corroboratedAnywhere);
    BOOST_TEST(summary.consents == 1);
}

BOOST_AUTO_TEST_CASE(summarizeEvidence_hintsOnly_moreVmsNeeded)
{
    for (std::uint64_t vm = 11; vm <= 16; ++vm) {
        BOOST_TEST(!summarizeEvidence(evidence, {3}, "c", {.minReporters = 3}).corroboratedInDataCentre);
        putReport(evidence, {vm}, {.dataCentre = "c", .suspicions = {{{3}, suspicion_level::Hint}}});
    }
    BOOST_TEST(summarizeEvidence(evidence, {3}, "c", {.minReporters = 3}).corroboratedInDataCentre);
}

BOOST_AUTO_TEST_CASE(summarizeEvidence_allInstancesLookAlike_notCorroborated)
{
    const std::uint32_t usual = highestLevelSum(evidence, {1});
    BOOST_TEST(usual == 6);
    BOOST_TEST(!summarizeEvidence(evidence, {1}, "a", {.minReporters = 3, .usualLevels = usual}).corroboratedAnywhere);
}

BOOST_AUTO_TEST_CASE(removeReport_lostVm_suspicionsGone)
{
    removeReport(evidence, {4});
    BOOST_TEST(summarizeEvidence(evidence, {2}, "a", {.minReporters = 3}).consents == 0);
    removeReport(evidence, {1});
    BOOST_TEST(!summarizeEvidence(evidence, {1}, "a", {.minReporters = 3}).corroboratedAnywhere);
}

BOOST_AUTO_TEST_CASE(reportersNeeded_oneBadLink_neverEnoughUnlessAlone)
{
    BOOST_TEST(reportersNeeded(1) == 1);
    BOOST_TEST(reportersNeeded(2) == 2);
    BOOST_TEST(reportersNeeded(15) == 3);
    BOOST_TEST(reportersNeeded(200) == 4);
}

BOOST_AUTO_TEST_CASE(isReporter_manyVms_aboutSixteenEach)
{
    int reporters = 0;
    for (std::uint64_t vm = 1; vm <= 200; ++vm) {
        reporters += isReporter({vm * 7919}, {42}, 200) ? 1 : 0;
    }
    BOOST_TEST(reporters > 8);
    BOOST_TEST(reporters < 28);
}

BOOST_AUTO_TEST_CASE(grantEjections_sixInstancesOfFourSlots_onlyOne)
{
    const std::array requests{request(2, ejection_basis::Agreed), request(1, ejection_basis::Agreed)};
    BOOST_TEST((grantEjections(requests, 24, floorPercent) == std::vector<instance_id>{{1}}));
}

BOOST_AUTO_TEST_CASE(grantEjections_twoInstances_noneAboveTheFloor)
{
    const std::array requests{request(1, ejection_basis::Agreed)};
    BOOST_TEST(grantEjections(requests, 8, floorPercent).empty());
}

BOOST_AUTO_TEST_CASE(grantEjections_agreedForOtherDataCentre_takesCapacityFirst)
{
    const std::array requests{request(1, ejection_basis::Suspected), request(2, ejection_basis::Agreed, /*here=*/false),
                              request(3, ejection_basis::Suspected)};
    BOOST_TEST(grantEjections(requests, 24, floorPercent).empty());
}

BOOST_AUTO_TEST_CASE(grantEjections_suspectedOnly_yieldsToAgreed)
{
    const std::array requests{request(1, ejection_basis::Suspected), request(2, ejection_basis::Agreed)};
    BOOST_TEST((grantEjections(requests, 24, floorPercent) == std::vector<instance_id>{{2}}));
}

BOOST_AUTO_TEST_CASE(grantEjections_floorOfWholeCapacity_none)
{
    const std::array requests{request(1, ejection_basis::Agreed)};
    BOOST_TEST(grantEjections(requests, 400, 100).empty());
}

// Guards against overload when 48 VMs exchange no reports and each avoids the instances that it suspects itself: the
// load on an instance stays within its fair share divided by the floor.
BOOST_AUTO_TEST_CASE(grantEjections_isolatedVms_noInstanceOverItsShareByMoreThanTheFloor)
{
    constexpr std::uint32_t instances = 10;
    constexpr std::uint32_t vms = 48;
    std::mt19937_64 random(7);
    for (int trial = 0; trial < 200; ++trial) {
        std::array<double, instances> load{};
        for (std::uint32_t vm = 0; vm < vms; ++vm) {
            std::vector<ejection_request> requests;
            for (std::uint64_t id = 0; id < instances; ++id) {
                if (random() % 2 == 0) {
                    requests.push_back(request(id, ejection_basis::Suspected));
                }
            }
            const auto out = grantEjections(requests, instances * 4, floorPercent);
            BOOST_TEST_REQUIRE(out.size() <= 3U);
            for (std::uint64_t id = 0; id < instances; ++id) {
                const bool used = std::ranges::find(out, instance_id{id}) == out.end();
                load[id] += used ? 1.0 / vms / static_cast<double>(instances - out.size()) : 0;
            }
        }
        BOOST_TEST_REQUIRE(*std::ranges::max_element(load) <= 1.0 / instances / 0.7 + 1e-9);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
