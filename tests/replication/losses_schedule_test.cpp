#include "replication/losses_schedule.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

namespace guavafront
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration acknowledgementLimit = seconds(4); ///< AckMs of the platform.

/// Runs schedules of losses, one for each seed from 1 on, and prints what they have shown. The environment variable
/// GUAVAFRONT_SEED replays a single seed; GUAVAFRONT_SCHEDULES sets the number of schedules.
struct losses_fixture {
    std::vector<duration> leaderless; ///< Times without a proof of leadership, of all seeds.
    std::vector<duration> recoveries; ///< Recoveries from the final fault, of all seeds.
    std::map<std::string, std::uint64_t> moments; ///< Moments that were met, of all seeds.
    std::uint64_t losses = 0; ///< Losses before the final faults, of all seeds.
    std::map<std::uint64_t, std::string> faults; ///< What was violated, by seed.

    static std::uint64_t numberFrom(const char *variable, std::uint64_t otherwise)
    {
        const char *text = std::getenv(variable);
        return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
    }

    void runSeeds(std::uint64_t count, const losses_options &options)
    {
        const std::uint64_t only = numberFrom("GUAVAFRONT_SEED", 0);
        const std::uint64_t last = only != 0 ? only : numberFrom("GUAVAFRONT_SCHEDULES", count);
        for (std::uint64_t seed = only != 0 ? only : 1; seed <= last; ++seed) {
            runSeed(seed, options);
        }
        print("without a confirmed leader", leaderless);
        print("recovery from the final fault", recoveries);
        BOOST_TEST_MESSAGE(losses << " losses");
        for (const auto &[what, times] : moments) {
            BOOST_TEST_MESSAGE(what << ": " << times);
        }
        for (const auto &[seed, fault] : faults) {
            BOOST_ERROR("GUAVAFRONT_SEED=" << seed << ": " << fault);
        }
        BOOST_TEST(faults.empty());
    }

    void runSeed(std::uint64_t seed, const losses_options &options)
    {
        try {
            const losses_report report = losses_schedule(seed, options).run();
            leaderless.insert(leaderless.end(), report.leaderless.begin(), report.leaderless.end());
            recoveries.push_back(report.recovery);
            losses += report.losses;
            for (const auto &[what, times] : report.moments) {
                moments[what] += times;
            }
            if (std::ranges::any_of(report.leaderless, [](duration each) { return each > acknowledgementLimit; })) {
                faults[seed] = "no leader is confirmed for too long";
            }
        } catch (const std::exception &fault) {
            faults[seed] = fault.what();
        }
    }

    static void print(const std::string &what, std::vector<duration> &times)
    {
        if (times.empty()) {
            return;
        }
        std::ranges::sort(times);
        const auto atShare = [&times](std::size_t perMille) {
            const duration found = times[(times.size() - 1) * perMille / 1'000];
            return std::chrono::duration_cast<milliseconds>(found).count();
        };
        BOOST_TEST_MESSAGE(what << ", " << times.size() << " times: median " << atShare(500) << " ms, 90% "
                                << atShare(900) << " ms, 99% " << atShare(990) << " ms, 99.9% " << atShare(999)
                                << " ms, worst " << atShare(1'000) << " ms");
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(losses_schedule_test, losses_fixture)

BOOST_AUTO_TEST_CASE(lossesWithinTolerance_fiveVms_leaderWithinTheAcknowledgementLimit)
{
    runSeeds(100, lossesOf(5, false));
}

BOOST_AUTO_TEST_CASE(lossesWithinTolerance_nineVms_leaderWithinTheAcknowledgementLimit)
{
    runSeeds(50, lossesOf(9, false));
}

BOOST_AUTO_TEST_CASE(lossesWithinTolerance_elevenVms_leaderWithinTheAcknowledgementLimit)
{
    runSeeds(30, lossesOf(11, false));
}

BOOST_AUTO_TEST_CASE(lossesWithinTolerance_fifteenVms_leaderWithinTheAcknowledgementLimit)
{
    runSeeds(40, lossesOf(15, false));
}

BOOST_AUTO_TEST_CASE(lossesAndDisasters_fiveVms_recoveredAndNothingLost)
{
    runSeeds(100, lossesOf(5, true));
}

BOOST_AUTO_TEST_CASE(lossesAndDisasters_nineVms_recoveredAndNothingLost)
{
    runSeeds(50, lossesOf(9, true));
}

BOOST_AUTO_TEST_CASE(lossesAndDisasters_elevenVms_recoveredAndNothingLost)
{
    runSeeds(30, lossesOf(11, true));
}

BOOST_AUTO_TEST_CASE(lossesAndDisasters_fifteenVms_recoveredAndNothingLost)
{
    runSeeds(40, lossesOf(15, true));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
