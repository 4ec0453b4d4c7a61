#include <guavafront/coordination/warmup/warmup.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace guavafront
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instance_id coldInstance{77};

/// Entry VMs that all send to one cold instance as soon as their parts allow.
struct warmup_fixture {
    service_warmup limit{.service = "reservas", .warmupMs = 3'000, .perSecond = 5.8};
    warmup_bounds bounds{.overshoot = 1.5, .slack = 8};
    instant now{seconds(1'000)};
    std::vector<warmup> vms;
    std::vector<entry_vm> fleet; ///< The VMs' identities, in the order of vms.
    std::vector<instant> arrivals; ///< Arrivals at the instance, in any order.

    double allowed() const
    {
        return limit.perSecond * bounds.overshoot + bounds.slack;
    }

    /// A VM that has run for long.
    warmup makeVm(vm_id self) const
    {
        return {.self = self, .bounds = bounds, .limits = {limit}, .startedAt = now - seconds(60), .lastNewsAt = now};
    }

    void addVms(std::size_t count, std::mt19937_64 &random)
    {
        for (std::size_t index = 0; index < count; ++index) {
            fleet.push_back({{random() | 1}, std::string(1, static_cast<char>('a' + index % 3))});
            vms.push_back(makeVm(fleet.back().id));
        }
    }

    /// Tells all VMs of the whole fleet, or those of one part of it that they reach only this part.
    void tellView(const std::vector<bool> &inPart, bool part)
    {
        entry_vm_view view;
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            (inPart[index] == part ? view.live : view.declaredDead).push_back(fleet[index]);
        }
        view.seesMajority = view.live.size() >= view.declaredDead.size();
        for (std::size_t index = 0; index < vms.size(); ++index) {
            if (inPart[index] == part) {
                updateEntryVms(vms[index], view);
            }
        }
    }

    void tellWholeView()
    {
        tellView(std::vector<bool>(fleet.size(), true), true);
    }

    void markAllCold(duration left)
    {
        for (warmup &vm : vms) {
            markCold(vm, coldInstance, now + left, now);
        }
    }

    /// Lets time pass; every VM sends whenever its part allows, and its request takes up to 90 ms.
    void sendFor(duration time, std::mt19937_64 &random)
    {
        for (const instant end = now + time; now < end; now += milliseconds(10)) {
            for (warmup &vm : vms) {
                if (isCold(vm, coldInstance, now) && nextTurn(vm, limit, coldInstance, "b", now) <= now) {
                    recordSent(vm, coldInstance, now);
                    arrivals.push_back(now + milliseconds(random() % 90));
                }
            }
        }
    }

    std::size_t mostInSecond()
    {
        std::ranges::sort(arrivals);
        std::size_t most = 0;
        for (auto from = arrivals.begin(); from != arrivals.end(); ++from) {
            const auto to = std::upper_bound(from, arrivals.end(), *from + seconds(1));
            most = std::max(most, static_cast<std::size_t>(to - from));
        }
        return most;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(warmup_test, warmup_fixture)

BOOST_AUTO_TEST_CASE(division_limitOfTheDeployment_halfOfTheLimitInAnySecond)
{
    const warmup_part part = divideWarmupLimit(5.8, bounds, 124);
    BOOST_TEST(part.senders == 8U);
    BOOST_TEST((part.spacing > seconds(1)));
    // Each of four VMs may send twice in a second, so that a small fleet uses the limit, too.
    const warmup_part few = divideWarmupLimit(5.8, bounds, 4);
    BOOST_TEST(few.senders == 4U);
    BOOST_TEST((few.spacing > milliseconds(500) && few.spacing < seconds(1)));
}

BOOST_AUTO_TEST_CASE(division_nothingAllowed_noSender)
{
    BOOST_TEST(divideWarmupLimit(0.5, {.overshoot = 1, .slack = 0}, 124).senders == 0U);
    BOOST_TEST(divideWarmupLimit(5.8, bounds, 0).senders == 0U);
}

// Guards against parts that add up to more than the limit: fleets of any size that split in two, lose the view of each
// other, start VMs again and heal, while every VM sends as much as it may.
BOOST_AUTO_TEST_CASE(senders_partitionsAndRestarts_limitKeptInAnySecond)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        std::mt19937_64 random(seed);
        vms.clear();
        fleet.clear();
        arrivals.clear();
        addVms(1 + random() % 130, random);
        tellWholeView();
        markAllCold(seconds(6));
        sendFor(milliseconds(random() % 1'500), random);
        std::vector<bool> side;
        const std::uint64_t cutTenths = random() % 11;
        for (std::size_t index = 0; index < vms.size(); ++index) {
            side.push_back(random() % 10 < cutTenths);
        }
        // Both sides notice the partition at different times.
        tellView(side, random() % 2 == 0);
        sendFor(milliseconds(random() % 1'500), random);
        tellView(side, true);
        tellView(side, false);
        sendFor(milliseconds(random() % 1'500), random);
        for (std::size_t index = 0; index < vms.size(); ++index) {
            if (random() % 8 == 0) { // A restarted VM has a new identity and remembers nothing.
                fleet[index].id = {random() | 1};
                vms[index] = makeVm(fleet[index].id);
                vms[index].startedAt = now;
                markCold(vms[index], coldInstance, now + seconds(3), now);
            }
        }
        tellView(side, true);
        tellView(side, false);
        sendFor(milliseconds(random() % 1'500), random);
        tellWholeView();
        sendFor(milliseconds(1'500), random);
        BOOST_TEST(static_cast<double>(mostInSecond()) <= allowed(), "seed " << seed << ": " << mostInSecond());
    }
}

// Guards against many isolated VMs that each believe to be the only one.
BOOST_AUTO_TEST_CASE(senders_everyVmIsolated_limitKept)
{
    std::mt19937_64 random(1);
    addVms(124, random);
    tellWholeView();
    for (std::size_t alone = 0; alone < vms.size(); ++alone) {
        entry_vm_view view{.live = {fleet[alone]}, .declaredDead = fleet, .seesMajority = false};
        updateEntryVms(vms[alone], view);
    }
    markAllCold(seconds(3));
    sendFor(seconds(3), random);
    BOOST_TEST(static_cast<double>(mostInSecond()) <= allowed());
    BOOST_TEST(!arrivals.empty());
}

// Guards against an instance that no VM sends to, since all its senders are gone.
BOOST_AUTO_TEST_CASE(senders_lostAndNoticed_othersTakeTheirPlaces)
{
    std::mt19937_64 random(1);
    addVms(124, random);
    tellWholeView();
    markAllCold(seconds(3));
    std::vector<bool> alive;
    for (const warmup &vm : vms) {
        alive.push_back(nextTurn(vm, limit, coldInstance, "b", now) > now);
    }
    BOOST_TEST(std::ranges::count(alive, false) == 8);
    tellView(alive, true);
    std::size_t senders = 0;
    for (std::size_t index = 0; index < vms.size(); ++index) {
        senders += alive[index] && nextTurn(vms[index], limit, coldInstance, "b", now) <= now ? 1 : 0;
    }
    BOOST_TEST(senders == 8U);
}

// Guards against a VM that doesn't remember what it sent before its restart and doesn't know the others yet.
BOOST_AUTO_TEST_CASE(sender_justStarted_sendsNothingYet)
{
    std::mt19937_64 random(1);
    addVms(1, random);
    tellWholeView();
    markAllCold(seconds(3));
    BOOST_TEST((nextTurn(vms[0], limit, coldInstance, "b", now) == now));
    vms[0].startedAt = now;
    BOOST_TEST((nextTurn(vms[0], limit, coldInstance, "b", now) == now + seconds(3)));
    now += seconds(2);
    BOOST_TEST((nextTurn(vms[0], limit, coldInstance, "b", now) == now));
}

BOOST_AUTO_TEST_CASE(warmup_repeatedNoticeOfTheSamePeriod_endsOnce)
{
    warmup vm = makeVm({1});
    BOOST_TEST(recordWarmup(vm, {coldInstance, seconds(3)}, now));
    BOOST_TEST(!recordWarmup(vm, {coldInstance, milliseconds(1'500)}, now + milliseconds(1'500)));
    BOOST_TEST(isCold(vm, coldInstance, now + milliseconds(2'999)));
    BOOST_TEST(!isCold(vm, coldInstance, now + seconds(3)));
    BOOST_TEST(recordWarmup(vm, {coldInstance, seconds(3)}, now + seconds(4)));
    BOOST_TEST(!recordWarmup(vm, {coldInstance, {}}, now + seconds(5)));
    BOOST_TEST(!isCold(vm, coldInstance, now + seconds(5)));
}

BOOST_AUTO_TEST_CASE(dataCentre_markedCold_itsInstancesWithALimit)
{
    registry known{.self = {1}};
    learn(known, {2}, {.instance = {1}, .sequence = 1, .service = "reservas", .dataCentre = "b"}, now);
    learn(known, {2}, {.instance = {2}, .sequence = 1, .service = "reservas", .dataCentre = "c"}, now);
    learn(known, {2}, {.instance = {3}, .sequence = 1, .service = "flagsja", .dataCentre = "b"}, now);
    warmup vm = makeVm({1});
    markDataCentreCold(vm, known, "b", now);
    BOOST_TEST((coldInstances(vm, now) == std::vector<warmup_notice>{{{1}, seconds(3)}}));
    removeOldWarmups(vm, now + seconds(3));
    BOOST_TEST(vm.cold.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
