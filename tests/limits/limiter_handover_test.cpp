#include "limits/limiter_fleet.h"

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

constexpr account_id testAccount{7};
constexpr double rounding = 1e-6;
constexpr std::uint64_t seedCount = 40;

/// Six VMs; one account with a rate of 100 requests per second and a burst of 60. The share of one VM is lost while it
/// is away, so that at least 83 requests per second are within the rate.
struct limiter_handover_fixture {
    static constexpr duration leftSeenAfter = 300ms; ///< From a VM's end until the others see it.

    limit_settings settings{.fleetSize = 6, .slotCount = 4};
    limit_table limits{.defaults = {.ratePerSecond = 100, .burst = 60}};

    /// Requests at even intervals to the given VMs in turn.
    static void scheduleRequests(limiter_fleet &fleet, duration span, duration interval,
                                 const std::vector<std::size_t> &vmIndexes)
    {
        std::size_t number = 0;
        for (instant when = fleet.now + interval; when < fleet.now + span; when += interval) {
            const std::size_t vmIndex = vmIndexes[number++ % vmIndexes.size()];
            fleet.schedule(when, [&fleet, vmIndex] { fleet.request(vmIndex, testAccount); });
        }
    }

    /// Index of the VM that owns the account in the first VM's view.
    std::size_t ownerIndex(const limiter_fleet &fleet) const
    {
        const vm_id owner = fleet.vms[0].state.preferredOwners[slotOf(settings, testAccount)];
        return static_cast<std::size_t>(
            std::ranges::find(fleet.vms, owner, [](const fleet_vm &vm) { return vm.state.self; }) - fleet.vms.begin());
    }

    /// Stops a VM as planned: it is told, serves on for the grace and ends; the others see that later.
    static void scheduleStop(limiter_fleet &fleet, std::size_t vmIndex, duration grace)
    {
        fleet.run(vmIndex, limiter_leaving{});
        const vm_id self = fleet.vms[vmIndex].state.self;
        fleet.schedule(fleet.now + grace, [&fleet, vmIndex, self] {
            if (fleet.vms[vmIndex].state.self == self) {
                fleet.run(vmIndex, limiter_stopping{});
                fleet.vms[vmIndex].alive = false;
            }
        });
        fleet.schedule(fleet.now + grace + leftSeenAfter, [&fleet] { fleet.setLiveMembers(); });
    }

    /// Runs until the fleet is in a steady state.
    limiter_fleet startFleet(std::uint64_t seed) const
    {
        limiter_fleet fleet(6, settings, limits, seed);
        fleet.lastIncarnation = 100 * seed; // Other identifiers choose other owners.
        for (std::size_t vmIndex = 0; vmIndex < fleet.vms.size(); ++vmIndex) {
            fleet.start(vmIndex);
        }
        fleet.setLiveMembers();
        fleet.runUntil(instant(8s));
        return fleet;
    }

    static std::vector<std::size_t> othersThan(std::size_t vmIndex)
    {
        std::vector<std::size_t> others;
        for (std::size_t other = 0; other < 6; ++other) {
            if (other != vmIndex) {
                others.push_back(other);
            }
        }
        return others;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(limiter_handover_test, limiter_handover_fixture)

BOOST_AUTO_TEST_CASE(limiter_ownerStopsAsPlanned_nothingWithinTheRateRefused)
{
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        limiter_fleet fleet = startFleet(seed);
        const std::size_t owner = ownerIndex(fleet);
        const bool atOneVm = seed % 2 == 0;
        scheduleRequests(fleet, 8s, 25ms, atOneVm ? std::vector{(owner + 1) % 6} : othersThan(owner));
        fleet.runUntil(fleet.now + 2s + std::chrono::milliseconds(seed * 23));
        scheduleStop(fleet, owner, 1s);
        fleet.runUntil(instant(17s));
        BOOST_TEST(fleet.refused == 0U, "seed " << seed << ": " << fleet.refused << " refused");
        BOOST_TEST(fleet.worstExcess(testAccount) <= rounding, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(limiter_newVmBecomesTheOwner_nothingWithinTheRateRefused)
{
    std::size_t changes = 0;
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        limiter_fleet fleet = startFleet(seed);
        const std::size_t joining = (ownerIndex(fleet) + 1 + seed % 5) % 6;
        fleet.vms[joining].alive = false;
        fleet.setLiveMembers();
        fleet.runUntil(instant(14s));
        const std::size_t owner = ownerIndex(fleet);
        scheduleRequests(fleet, 8s, 25ms, othersThan(joining));
        fleet.runUntil(instant(16s));
        fleet.start(joining);
        fleet.setLiveMembers();
        changes += ownerIndex(fleet) != owner ? 1 : 0;
        fleet.runUntil(instant(23s));
        BOOST_TEST(fleet.refused == 0U, "seed " << seed << ": " << fleet.refused << " refused");
        BOOST_TEST(fleet.worstExcess(testAccount) <= rounding, "seed " << seed);
    }
    BOOST_TEST(changes > 0U);
}

BOOST_AUTO_TEST_CASE(limiter_plannedStopsAndSeededFaults_sumNeverAboveTheLimit)
{
    constexpr std::uint64_t scheduleCount = 400;
    std::uint64_t admissions = 0;
    for (std::uint64_t seed = 1; seed <= scheduleCount; ++seed) {
        limiter_fleet fleet(6, settings, limits, seed);
        fleet.faults = {.loss = 0.2 * fleet.uniform(),
                        .duplication = 0.3 * fleet.uniform(),
                        .longestDelay = fleet.uniform() < 0.5 ? duration(8ms) : duration(4s)};
        for (instant when(3s); when < instant(20s); when += std::chrono::milliseconds(1 + fleet.randomIndex(60))) {
            fleet.schedule(when, [&fleet] {
                const std::size_t vmIndex = fleet.randomIndex(6);
                const std::size_t count = 1 + fleet.randomIndex(20);
                for (std::size_t number = 0; number < count; ++number) {
                    fleet.request(vmIndex, testAccount);
                }
            });
        }
        for (instant when(2s); when < instant(20s); when += std::chrono::milliseconds(200 + fleet.randomIndex(1'000))) {
            fleet.schedule(when, [&fleet] {
                const std::size_t vmIndex = fleet.randomIndex(6);
                switch (fleet.randomIndex(6)) {
                case 0:
                case 1:
                    scheduleStop(fleet, vmIndex, std::chrono::milliseconds(fleet.randomIndex(1'500)));
                    break;
                case 2:
                    fleet.vms[vmIndex].frozen = true;
                    break;
                case 3:
                    fleet.thaw(vmIndex);
                    break;
                case 4: // Another view, in which a VM is missing.
                    fleet.setMembers(vmIndex, {fleet.vms[fleet.randomIndex(6)].state.self,
                                               fleet.vms[fleet.randomIndex(6)].state.self,
                                               fleet.vms[fleet.randomIndex(6)].state.self});
                    break;
                default:
                    if (!fleet.vms[vmIndex].alive) {
                        fleet.start(vmIndex);
                    }
                    fleet.setLiveMembers();
                    break;
                }
            });
        }
        for (instant when(2s); when < instant(21s); when += 50ms) {
            fleet.runUntil(when);
            const double inForce = fleet.excessInForce(testAccount);
            BOOST_TEST_REQUIRE(inForce <= rounding, "seed " << seed << ": in force " << inForce << " over");
        }
        const double admitted = fleet.worstExcess(testAccount);
        BOOST_TEST_REQUIRE(admitted <= rounding, "seed " << seed << ": admitted " << admitted << " over");
        admissions += fleet.admitted[testAccount].size();
    }
    BOOST_TEST(admissions > scheduleCount * 100);
}

BOOST_AUTO_TEST_CASE(share_releasedLateOrTwice_newerDelegationKept)
{
    const instant start(1h);
    share_holder holder = startShareHolder(settings, start);
    const std::vector<vm_id> preferred(settings.slotCount, vm_id{1});
    const instant free = start + extendedForDrift(settings, settings.delegationLifetime);
    BOOST_TEST(delegateShares(holder, settings, {1}, {.round = 4, .slots = {0}}, preferred, free).slots.size() == 1U);
    takeBackShares(holder, {2}, {.round = 9, .slots = {{.slot = 0}}}, free);
    takeBackShares(holder, {1}, {.round = 3, .slots = {{.slot = 0}, {.slot = 99}}}, free);
    BOOST_TEST((holder.shares[0].usableFrom > free));
    takeBackShares(holder, {1}, {.round = 4, .slots = {{0, 300ms}}}, free);
    BOOST_TEST((holder.shares[0].usableFrom == free + 300ms));
    BOOST_TEST(
        delegateShares(holder, settings, {1}, {.round = 5, .slots = {0}}, preferred, free + 200ms).slots.empty());
    BOOST_TEST(delegateShares(holder, settings, {1}, {.round = 5, .slots = {0}}, preferred, free + 300ms).slots.size()
               == 1U);
}

BOOST_AUTO_TEST_CASE(owner_leasesOfReleasedSharesRun_noSharesBeforeTheirEnd)
{
    const instant start(1h);
    const limit_slot slot = slotOf(settings, testAccount);
    lease_owner owner = startOwner(settings, start);
    const share_request first = startRound(owner, {slot}, start);
    acceptDelegation(owner, settings, {1}, {.round = first.round, .slots = {slot}}, start);
    const instant filled = start + 1900ms;
    const lease_request request{.sequence = 1, .items = {{.account = testAccount, .waiting = 9}}};
    const lease_grant granted = grantLeases(owner, settings, limits, {2}, request, filled);
    BOOST_TEST_REQUIRE(granted.items.size() == 1U);
    const duration lifetime = granted.items.front().lifetime;
    const share_release release = releaseAllSlots(owner, settings, filled);
    BOOST_TEST_REQUIRE(release.slots.size() == 1U);
    BOOST_TEST((release.slots.front().usableAfter >= lifetime));
    for (const auto &[after, shares] :
         {std::pair<duration, std::uint32_t>{1ms, 0}, {lifetime, 0}, {lifetime + 10ms, 1}}) {
        const share_request next = startRound(owner, {slot}, filled + after);
        acceptDelegation(owner, settings, {1}, {.round = next.round, .slots = {slot}}, filled + after);
        BOOST_TEST(usableShares(owner.pools[slot], filled + after) == shares);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
