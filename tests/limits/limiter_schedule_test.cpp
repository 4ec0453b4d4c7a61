#include "limits/limiter_fleet.h"

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t scheduleCount = 1'500;
constexpr std::size_t vmCount = 5;
constexpr double rounding = 1e-6;

/// Runs seeded schedules of faults over a small fleet with several accounts of different limits.
struct limiter_schedule_fixture {
    limit_settings settings{.fleetSize = vmCount, .slotCount = 2, .clockDrift = 0.01};
    limit_table limits{.defaults = {.ratePerSecond = 50, .burst = 15},
                       .exceptions = {{account_id{1}, {.ratePerSecond = 20, .burst = 40}},
                                      {account_id{2}, {.ratePerSecond = 2, .burst = 25}}}};

    /// Gives every VM a random part of the members as its view.
    static void setRandomMembers(limiter_fleet &fleet)
    {
        for (std::size_t vmIndex = 0; vmIndex < vmCount; ++vmIndex) {
            std::vector<vm_id> members;
            for (const fleet_vm &vm : fleet.vms) {
                if (fleet.uniform() < 0.8) {
                    members.push_back(vm.state.self);
                }
            }
            fleet.setMembers(vmIndex, members);
        }
    }

    /// Injects one random fault or repair.
    static void injectFault(limiter_fleet &fleet)
    {
        const std::size_t vmIndex = fleet.randomIndex(vmCount);
        switch (fleet.randomIndex(8)) {
        case 0:
            fleet.vms[vmIndex].alive = false;
            break;
        case 1:
        case 2:
            fleet.start(vmIndex);
            fleet.setLiveMembers();
            break;
        case 3:
            fleet.vms[vmIndex].frozen = true;
            break;
        case 4:
            fleet.thaw(vmIndex);
            break;
        case 5:
            setRandomMembers(fleet);
            break;
        case 6:
            fleet.cut.insert({vmIndex, fleet.randomIndex(vmCount)});
            break;
        default:
            fleet.cut.clear();
            fleet.setLiveMembers();
            break;
        }
    }

    /// Sends a burst of requests of a random account to a random VM.
    static void sendBurst(limiter_fleet &fleet)
    {
        const std::size_t vmIndex = fleet.randomIndex(vmCount);
        const account_id account{static_cast<std::uint32_t>(1 + fleet.randomIndex(3))};
        const std::size_t count = 1 + fleet.randomIndex(20);
        for (std::size_t number = 0; number < count; ++number) {
            fleet.request(vmIndex, account);
        }
    }

    /// Largest excess over the limits in a schedule, over all accounts.
    struct outcome {
        double admitted = -1e9; ///< Admitted requests beyond the limit in any window.
        double inForce = -1e9; ///< Rates, capacities or tokens beyond the limit at any moment.
        std::uint64_t admissions = 0; ///< Number of admitted requests.
    };

    /// Runs the schedule of a seed and checks the limits in force every 50 ms.
    outcome run(std::uint64_t seed)
    {
        outcome seen;
        limiter_fleet fleet(vmCount, settings, limits, seed);
        fleet.faults = {.loss = 0.2 * fleet.uniform(),
                        .duplication = 0.3 * fleet.uniform(),
                        .longestDelay = fleet.uniform() < 0.5 ? duration(8ms) : duration(4s)};
        for (instant when(3s); when < instant(20s); when += std::chrono::milliseconds(1 + fleet.randomIndex(60))) {
            fleet.schedule(when, [&fleet] { sendBurst(fleet); });
        }
        for (instant when(2s); when < instant(20s); when += std::chrono::milliseconds(200 + fleet.randomIndex(2'000))) {
            fleet.schedule(when, [&fleet] { injectFault(fleet); });
        }
        for (instant when(2s); when < instant(21s); when += 50ms) {
            fleet.runUntil(when);
            for (std::uint32_t account = 1; account <= 3; ++account) {
                seen.inForce = std::max(seen.inForce, fleet.excessInForce({account}));
            }
        }
        for (std::uint32_t account = 1; account <= 3; ++account) {
            seen.admitted = std::max(seen.admitted, fleet.worstExcess({account}));
            seen.admissions += fleet.admitted[{account}].size();
        }
        return seen;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(limiter_schedule_test, limiter_schedule_fixture)

BOOST_AUTO_TEST_CASE(limiter_seededFaults_sumNeverAboveTheLimit)
{
    std::uint64_t admissions = 0;
    for (std::uint64_t seed = 1; seed <= scheduleCount; ++seed) {
        const outcome seen = run(seed);
        BOOST_TEST_REQUIRE(seen.admitted <= rounding, "seed " << seed << ": admitted " << seen.admitted << " over");
        BOOST_TEST_REQUIRE(seen.inForce <= rounding, "seed " << seed << ": in force " << seen.inForce << " over");
        admissions += seen.admissions;
    }
    BOOST_TEST_MESSAGE(scheduleCount << " schedules, " << admissions << " admissions");
    BOOST_TEST(admissions > scheduleCount * 100);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
