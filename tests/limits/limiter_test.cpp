#include "limits/limiter_fleet.h"

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

constexpr account_id testAccount{7};
constexpr double rounding = 1e-6;

/// Six VMs in steady state; one account with a rate of 100 requests per second and a burst of 60.
struct limiter_fixture {
    limit_settings settings{.fleetSize = 6, .slotCount = 4};
    limit_table limits{.defaults = {.ratePerSecond = 100, .burst = 60}};
    limiter_fleet fleet{6, settings, limits, 1};

    limiter_fixture()
    {
        fleet.runUntil(instant(8s));
    }

    /// Sends requests at even intervals to the given VMs in turn.
    void sendRequests(duration span, duration interval, const std::vector<std::size_t> &vmIndexes)
    {
        const instant end = fleet.now + span;
        std::size_t number = 0;
        for (instant when = fleet.now + interval; when < end; when += interval) {
            const std::size_t vmIndex = vmIndexes[number++ % vmIndexes.size()];
            fleet.schedule(when, [this, vmIndex] { fleet.request(vmIndex, testAccount); });
        }
        fleet.runUntil(end + 100ms);
    }

    /// Returns the index of the VM that owns the account in the first VM's view.
    std::size_t ownerIndex() const
    {
        const vm_id owner = fleet.vms[0].state.preferredOwners[slotOf(settings, testAccount)];
        return static_cast<std::size_t>(
            std::ranges::find(fleet.vms, owner, [](const fleet_vm &vm) { return vm.state.self; }) - fleet.vms.begin());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(limiter_test, limiter_fixture)

BOOST_AUTO_TEST_CASE(limiter_trafficAtOneVm_wholeRateServed)
{
    sendRequests(10s, 11ms, {3});
    BOOST_TEST(fleet.refused == 0U);
}

BOOST_AUTO_TEST_CASE(limiter_trafficMovesSuddenly_wholeRateServed)
{
    sendRequests(5s, 12ms, {0});
    sendRequests(5s, 12ms, {5});
    sendRequests(5s, 12ms, {0, 1, 2, 3, 4, 5});
    BOOST_TEST(fleet.refused == 0U);
}

BOOST_AUTO_TEST_CASE(limiter_burstAtOneVm_burstServedAndNoMore)
{
    for (int number = 0; number < 100; ++number) {
        fleet.request(2, testAccount);
    }
    fleet.runUntil(fleet.now + 100ms);
    BOOST_TEST(fleet.admitted[testAccount].size() >= 59U);
    BOOST_TEST(fleet.worstExcess(testAccount) <= rounding);
}

BOOST_AUTO_TEST_CASE(limiter_fiveTimesTheRate_rateServedAndNoMore)
{
    sendRequests(10s, 2ms, {0, 1, 2, 3, 4, 5});
    BOOST_TEST(fleet.worstExcess(testAccount) <= rounding);
    BOOST_TEST(fleet.admitted[testAccount].size() >= 950U);
}

BOOST_AUTO_TEST_CASE(limiter_hotAccount_messagesDontGrowWithRequests)
{
    fleet.limits.defaults = {.ratePerSecond = 10'000, .burst = 5'000};
    for (std::size_t vmIndex = 0; vmIndex < fleet.vms.size(); ++vmIndex) {
        fleet.run(vmIndex, limits_changed{fleet.limits});
    }
    sendRequests(2s, 200us, {1, 2});
    const std::uint64_t before = fleet.sent;
    sendRequests(5s, 200us, {1, 2});
    BOOST_TEST(fleet.refused == 0U);
    BOOST_TEST((fleet.sent - before) < 1'000U);
}

BOOST_AUTO_TEST_CASE(limiter_ownerDies_limitHoldsAndServiceReturns)
{
    const std::size_t owner = ownerIndex();
    const std::size_t caller = (owner + 1) % 6;
    sendRequests(2s, 15ms, {caller});
    fleet.vms[owner].alive = false;
    fleet.setLiveMembers();
    sendRequests(6s, 15ms, {caller});
    const std::uint64_t refusedBefore = fleet.refused;
    sendRequests(5s, 15ms, {caller});
    BOOST_TEST(fleet.refused == refusedBefore);
    BOOST_TEST(fleet.worstExcess(testAccount) <= rounding);
}

BOOST_AUTO_TEST_CASE(limiter_fleetSplits_eachSideServesItsPart)
{
    for (std::size_t left = 0; left < 3; ++left) {
        for (std::size_t right = 3; right < 6; ++right) {
            fleet.cut.insert({left, right});
            fleet.cut.insert({right, left});
        }
    }
    for (std::size_t vmIndex = 0; vmIndex < 6; ++vmIndex) {
        const std::size_t first = vmIndex < 3 ? 0 : 3;
        fleet.setMembers(
            vmIndex, {fleet.vms[first].state.self, fleet.vms[first + 1].state.self, fleet.vms[first + 2].state.self});
    }
    fleet.runUntil(fleet.now + 6s);
    sendRequests(10s, 5ms, {0, 5});
    BOOST_TEST(fleet.worstExcess(testAccount) <= rounding);
    BOOST_TEST(fleet.admitted[testAccount].size() >= 950U);
}

BOOST_AUTO_TEST_CASE(limiter_freshFleetWithinRate_noneRefusedAfterTheFirstGrant)
{
    limiter_fleet fresh(6, settings, limits, 2);
    std::size_t vmIndex = 0;
    while (fresh.admitted[testAccount].empty()) {
        fresh.request(vmIndex++ % 6, testAccount);
        fresh.runUntil(fresh.now + 20ms);
    }
    fresh.runUntil(fresh.now + settings.waitLimit);
    fresh.refused = 0;
    for (int number = 0; number < 150; ++number) {
        fresh.request(vmIndex++ % 6, testAccount);
        fresh.runUntil(fresh.now + 20ms);
    }
    fresh.runUntil(fresh.now + settings.waitLimit);
    BOOST_TEST(fresh.refused == 0U);
    BOOST_TEST(fresh.worstExcess(testAccount) <= rounding);
}

BOOST_AUTO_TEST_CASE(limiter_lossyLinksWithinRate_noneRefused)
{
    fleet.faults.loss = 0.02;
    sendRequests(20s, 12ms, {0, 1, 2, 3, 4, 5});
    fleet.runUntil(fleet.now + settings.waitLimit);
    BOOST_TEST(fleet.refused == 0U);
}

BOOST_AUTO_TEST_CASE(limiter_grantLateOrRepeated_ignored)
{
    leased_account leased;
    const instant start(1h);
    prepareRequest(leased, testAccount, settings, {9}, 4, start);
    const lease_grant_item grant{.account = testAccount, .rate = 5, .capacity = 10, .tokens = 10, .lifetime = 1h};
    BOOST_TEST(!acceptGrant(leased, settings, {8}, 4, grant, start + 1ms));
    BOOST_TEST(!acceptGrant(leased, settings, {9}, 3, grant, start + 1ms));
    BOOST_TEST(!acceptGrant(leased, settings, {9}, 4, grant, start + settings.leaseLifetime));
    BOOST_TEST(acceptGrant(leased, settings, {9}, 4, grant, start + 1ms));
    BOOST_TEST(takeToken(leased));
    BOOST_TEST(!acceptGrant(leased, settings, {9}, 4, grant, start + 2ms));
    BOOST_TEST(leased.lease.level == 9);
    BOOST_TEST((leased.leaseEnd == start + settings.leaseLifetime));
}

BOOST_AUTO_TEST_CASE(limiter_startedAgainOnTheSameVm_predecessorsGrantIgnored)
{
    const instant start(1h);
    limit_effects effects;
    limiter first = startLimiter({1}, settings, limits, start);
    step(first, limit_members_changed{{{1}, {2}, {3}, {4}, {5}, {6}}}, start, effects);
    const vm_id owner = first.preferredOwners[slotOf(settings, testAccount)];
    BOOST_TEST_REQUIRE(owner.value != 1U);
    tryTake(first, testAccount, take_phase::First, start, effects);
    const auto sentRequest = std::get<lease_request>(effects.sends.back().message);
    limiter second = startLimiter({1}, settings, limits, start + 1ms);
    step(second, limit_members_changed{{{1}, {2}, {3}, {4}, {5}, {6}}}, start + 1ms, effects);
    tryTake(second, testAccount, take_phase::First, start + 1ms, effects);
    const lease_grant late{.sequence = sentRequest.sequence,
                           .items = {{.account = testAccount, .capacity = 9, .tokens = 9, .lifetime = 1h}}};
    step(second, limit_message_received{owner, late}, start + 2ms, effects);
    BOOST_TEST(second.leases.accounts.at(testAccount).lease.level == 0);
}

BOOST_AUTO_TEST_CASE(owner_lesseeLostItsLease_tokensNotReturned)
{
    const instant start(1h);
    lease_owner owner = startOwner(settings, start);
    const share_request round = startRound(owner, {slotOf(settings, testAccount)}, start);
    acceptDelegation(owner, settings, {1}, {.round = round.round, .slots = round.slots}, start);
    const instant filled = start + 1900ms;
    lease_request request{.sequence = 1, .items = {{.account = testAccount, .waiting = 9}}};
    const lease_grant first = grantLeases(owner, settings, limits, {2}, request, filled);
    BOOST_TEST(first.items.front().tokens >= 9);
    request.sequence = 2;
    const lease_grant second = grantLeases(owner, settings, limits, {2}, request, filled);
    const double handedOut = first.items.front().tokens + second.items.front().tokens;
    BOOST_TEST(handedOut <= 10 + rounding); // The owner has one of six shares of the burst of 60.
}

BOOST_AUTO_TEST_CASE(share_delegatedElsewhere_notDelegatedTwice)
{
    const instant start(1h);
    share_holder holder = startShareHolder(settings, start);
    const std::vector<vm_id> first(settings.slotCount, vm_id{1});
    const std::vector<vm_id> second(settings.slotCount, vm_id{2});
    const share_request request{.round = 1, .slots = {0}};
    BOOST_TEST(delegateShares(holder, settings, {1}, request, first, start).slots.empty());
    const instant free = start + extendedForDrift(settings, settings.delegationLifetime);
    BOOST_TEST(delegateShares(holder, settings, {1}, request, first, free).slots.size() == 1U);
    BOOST_TEST(delegateShares(holder, settings, {2}, request, second, free + 1ms).slots.empty());
    BOOST_TEST(delegateShares(holder, settings, {1}, request, second, free + 1ms).slots.empty());
}

BOOST_AUTO_TEST_CASE(extendedForDrift_fastestAndSlowestClock_coversTheSpan)
{
    for (const double drift : {0.0, 0.001, 0.1}) {
        const limit_settings drifting{.clockDrift = drift};
        const duration span = drifting.leaseLifetime;
        const double slowest = static_cast<double>(span.count()) / (1 - drift);
        const double fastest = static_cast<double>(extendedForDrift(drifting, span).count()) / (1 + drift);
        BOOST_TEST(fastest >= slowest);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
