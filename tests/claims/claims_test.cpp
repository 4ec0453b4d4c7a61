#include "claims/claims_schedule.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>

namespace guavafront
{

namespace
{

/// Named set of faults for one group of schedules.
struct schedule_kind {
    const char *name; ///< Name in test reports.
    schedule_faults faults; ///< Faults that each schedule injects.
};

std::ostream &operator<<(std::ostream &out, const schedule_kind &each)
{
    return out << each.name;
}

constexpr std::array kinds{
    schedule_kind{"quiet", {}},
    schedule_kind{"lossy", {.lossPercent = 20, .duplicatePercent = 10, .maxDelayMs = 50}},
    schedule_kind{"late", {.duplicatePercent = 20, .maxDelayMs = 1500}},
    schedule_kind{"deaths", {.lossPercent = 5, .deaths = 3}},
    schedule_kind{"restarts", {.lossPercent = 5, .restarts = 3, .viewChanges = 4}},
    schedule_kind{"views", {.lossPercent = 5, .duplicatePercent = 5, .maxDelayMs = 50, .viewChanges = 6}},
    schedule_kind{"churn",
                  {.maxDelayMs = 300, .restarts = 1, .viewChanges = 16, .viewDelayMs = 2000, .dropPercent = 40}},
    schedule_kind{"deathsAndViews",
                  {.lossPercent = 10, .duplicatePercent = 10, .maxDelayMs = 100, .deaths = 4, .viewChanges = 8}},
    schedule_kind{"paused", {.maxDelayMs = 20, .deaths = 2, .viewChanges = 3, .pausePercent = 50}},
};

constexpr std::uint64_t schedulesPerKind = 300;
constexpr std::uint64_t keysPerSchedule = 6;
constexpr std::uint64_t sendsPerKey = 5;
constexpr std::uint64_t otherDigest = 99;

} // namespace

BOOST_AUTO_TEST_SUITE(claims_test)

BOOST_DATA_TEST_CASE(claim_seededFaults_neverRunsTwice, boost::unit_test::data::make(kinds), kind)
{
    std::uint64_t ran = 0;
    std::uint64_t replayed = 0;
    for (std::uint64_t seed = 1; seed <= schedulesPerKind; ++seed) {
        claims_schedule fleet(seed, 9, kind.faults);
        for (std::uint64_t send = 0; send < keysPerSchedule * sendsPerKey; ++send) {
            const std::uint64_t key = send % keysPerSchedule;
            const std::uint64_t digest = seed % 5 == 0 && send % 7 == 0 ? otherDigest : key;
            fleet.submit(key, digest, std::chrono::milliseconds((send * seed * 131) % 4000));
        }
        fleet.run(std::chrono::seconds(8));
        for (const auto &[key, count] : fleet.runs) {
            BOOST_REQUIRE_MESSAGE(count <= 1, kind.name << " seed " << seed << " key " << key << " ran " << count);
            ran += static_cast<std::uint64_t>(count);
            replayed += static_cast<std::uint64_t>(fleet.replays[key]);
        }
        BOOST_REQUIRE_MESSAGE(fleet.wrongReplays == 0, kind.name << " seed " << seed);
        BOOST_REQUIRE_MESSAGE(fleet.falseNotRun == 0, kind.name << " seed " << seed);
    }
    BOOST_TEST_MESSAGE(kind.name << ": " << ran << " runs, " << replayed << " replays");
    BOOST_TEST(ran > schedulesPerKind * keysPerSchedule / 2); // Guards against faults that stop nearly all requests.
    BOOST_TEST(replayed > ran / 2);
}

BOOST_AUTO_TEST_CASE(claim_freshKeysAfterFaults_allDecided)
{
    std::uint64_t decided = 0;
    constexpr std::uint64_t schedules = 100;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        claims_schedule fleet(seed, 9, {.lossPercent = 20, .duplicatePercent = 10, .deaths = 1, .viewChanges = 1});
        fleet.run(std::chrono::seconds(4));
        fleet.heal();
        fleet.run(std::chrono::seconds(2));
        fleet.submit(1, 1, {});
        fleet.run(std::chrono::seconds(4));
        const bool undecided = std::ranges::any_of(
            fleet.refusals[1], [](const refusal &each) { return each.code == result_code::ClaimUndecided; });
        decided += undecided ? 0 : 1;
    }
    BOOST_TEST(decided == schedules);
}

BOOST_AUTO_TEST_CASE(claim_resentWithOtherRequest_conflict)
{
    claims_schedule fleet(7, 9, {});
    for (std::uint64_t each = 0; each < 10; ++each) {
        fleet.submit(1, 1, std::chrono::milliseconds(each * 50));
    }
    fleet.run(std::chrono::seconds(1));
    BOOST_REQUIRE(fleet.runs[1] == 1);
    fleet.refusals.clear();
    fleet.submit(1, otherDigest, {});
    fleet.run(std::chrono::seconds(4));
    BOOST_REQUIRE(fleet.refusals[1].size() == 1U);
    BOOST_TEST((fleet.refusals[1][0].code == result_code::IdempotencyKeyReused));
    BOOST_TEST(fleet.runs[1] == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
