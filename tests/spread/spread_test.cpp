#include "spread/spread_fleet.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <boost/test/unit_test.hpp>

#include <set>

namespace guavafront
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Runs cases on a simulated fleet of 48 VMs in three data centres, each with ten entries, once for each of several
/// random seeds.
struct spread_fixture {
    static constexpr std::size_t fleetSize = 48;
    static constexpr std::size_t controlCount = 3;
    static constexpr unsigned entriesEach = 10;
    static constexpr std::uint64_t randomSeedCount = 3;

    /// For each random seed, starts a fleet, waits until every table is complete and runs a case on it.
    static void forEachSeed(const std::function<void(spread_fleet &)> &body)
    {
        for (std::uint64_t seed = 1; seed <= randomSeedCount; ++seed) {
            BOOST_TEST_CONTEXT("seed " << seed)
            {
                spread_fleet fleet;
                fleet.membership.random = {seed};
                fleet.membership.controlCount = controlCount;
                fleet.membership.startAll(fleetSize);
                for (const auto &[id, each] : fleet.membership.vms) {
                    for (unsigned i = 0; i < entriesEach; ++i) {
                        fleet.publish(id, std::to_string(i), i);
                    }
                }
                BOOST_REQUIRE(fleet.membership.runUntil([&fleet] { return tablesComplete(fleet); }, minutes(2)));
                body(fleet);
            }
        }
    }

    static bool tablesComplete(spread_fleet &fleet)
    {
        return std::ranges::all_of(fleet.membership.vms, [&fleet](const auto &entry) {
            return fleet.tableOf(entry.first).entries.size() == fleetSize * entriesEach;
        });
    }

    static vm_id vmAt(const spread_fleet &fleet, std::size_t position)
    {
        return std::next(fleet.membership.vms.begin(), static_cast<std::ptrdiff_t>(position))->first;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(spread_test, spread_fixture)

BOOST_AUTO_TEST_CASE(entry_changed_newestVersionEverywhereSoon)
{
    forEachSeed([](spread_fleet &fleet) {
        const vm_id owner = vmAt(fleet, 7);
        fleet.publish(owner, "3", 100);
        fleet.publish(owner, "3", 101);
        BOOST_TEST(fleet.membership.runUntil([&] { return fleet.allHold(owner, "3", 101); }, seconds(5)));
    });
}

BOOST_AUTO_TEST_CASE(entry_publishedUnchanged_nothingSent)
{
    forEachSeed([](spread_fleet &fleet) {
        const vm_id owner = vmAt(fleet, 7);
        const std::uint64_t version = fleet.tableOf(owner).lastVersion;
        fleet.publish(owner, "3", 3);
        BOOST_TEST(fleet.tableOf(owner).lastVersion == version);
    });
}

BOOST_AUTO_TEST_CASE(entry_withdrawn_goneEverywhereAndNotResurrected)
{
    forEachSeed([](spread_fleet &fleet) {
        const vm_id owner = vmAt(fleet, 7);
        const vm_id frozen = vmAt(fleet, 20);
        fleet.membership.freeze(frozen);
        fleet.membership.run(seconds(1));
        for (unsigned i = 0; i < entriesEach; ++i) {
            fleet.react(owner, spread_withdraw{spread_topic::Instances, std::to_string(i)});
        }
        fleet.membership.run(minutes(1));
        fleet.membership.thaw(frozen);
        BOOST_TEST(fleet.membership.runUntil([&] { return fleet.noneHolds(owner); }, minutes(2)));
        fleet.membership.run(minutes(15));
        BOOST_TEST(fleet.noneHolds(owner));
    });
}

BOOST_AUTO_TEST_CASE(owner_dies_entriesRemovedAfterRetention)
{
    forEachSeed([](spread_fleet &fleet) {
        const vm_id owner = vmAt(fleet, 7);
        fleet.kill(owner);
        fleet.membership.run(seconds(5));
        BOOST_TEST(!fleet.noneHolds(owner));
        BOOST_TEST(fleet.membership.runUntil([&] { return fleet.noneHolds(owner); }, seconds(40)));
    });
}

BOOST_AUTO_TEST_CASE(owner_restartsUnderItsOldIdentifier_onlyNewEntriesStay)
{
    forEachSeed([](spread_fleet &fleet) {
        const vm_id owner = fleet.membership.vmsByAddress.at(memory_fleet::addressOf(0));
        fleet.kill(owner);
        fleet.membership.start(0, owner);
        fleet.publish(owner, "0", 200);
        BOOST_TEST(fleet.membership.runUntil(
            [&] {
                return fleet.allHold(owner, "0", 200) && fleet.tablesAgree()
                       && std::ranges::all_of(fleet.tables, [owner](const auto &table) {
                              return std::ranges::count_if(table.second.entries,
                                                           [owner](const auto &entry) {
                                                               return entry.first.owner == owner
                                                                      && !entry.second.removed;
                                                           })
                                     == 1;
                          });
            },
            minutes(2)));
    });
}

BOOST_AUTO_TEST_CASE(vm_joins_holdsAllEntriesSoon)
{
    forEachSeed([](spread_fleet &fleet) {
        const vm_id joiner = fleet.membership.start(fleetSize);
        fleet.publish(joiner, "0", 1);
        BOOST_TEST(fleet.membership.runUntil(
            [&] { return fleet.tableOf(joiner).entries.size() == fleetSize * entriesEach + 1; }, seconds(40)));
        BOOST_TEST(fleet.membership.runUntil([&] { return fleet.allHold(joiner, "0", 1); }, seconds(20)));
    });
}

BOOST_AUTO_TEST_CASE(messages_oneInFiveLost_repairMakesTablesEqual)
{
    forEachSeed([](spread_fleet &fleet) {
        fleet.membership.isCut = [&fleet](vm_id, vm_id) {
            return fleet.membership.random.below(5) == 0;
        };
        const vm_id owner = vmAt(fleet, 7);
        for (unsigned i = 0; i < entriesEach; ++i) {
            fleet.publish(owner, std::to_string(i), 100 + i);
        }
        fleet.membership.run(seconds(20));
        fleet.membership.isCut = [](vm_id, vm_id) {
            return false;
        };
        BOOST_TEST(fleet.membership.runUntil([&] { return fleet.tablesAgree(); }, minutes(3)));
        BOOST_TEST(fleet.allHold(owner, "9", 109));
    });
}

BOOST_AUTO_TEST_CASE(dataCentre_cutOneWay_entriesStillArrive)
{
    forEachSeed([](spread_fleet &fleet) {
        const auto dataCentreOf = [&fleet](vm_id id) {
            return fleet.membership.vms.at(id).state.self.dataCentre;
        };
        fleet.membership.isCut = [dataCentreOf](vm_id from, vm_id to) {
            return dataCentreOf(from) == "a" && dataCentreOf(to) == "b";
        };
        fleet.membership.run(seconds(10));
        const vm_id owner = fleet.membership.vmsByAddress.at(memory_fleet::addressOf(3));
        fleet.publish(owner, "3", 100);
        BOOST_TEST(fleet.membership.runUntil([&] { return fleet.allHold(owner, "3", 100); }, seconds(10)));
    });
}

BOOST_AUTO_TEST_CASE(dataCentre_cutOffThenBack_tablesEqualAgain)
{
    forEachSeed([](spread_fleet &fleet) {
        const auto dataCentreOf = [&fleet](vm_id id) {
            return fleet.membership.vms.at(id).state.self.dataCentre;
        };
        fleet.membership.isCut = [dataCentreOf](vm_id from, vm_id to) {
            return (dataCentreOf(from) == "a") != (dataCentreOf(to) == "a");
        };
        fleet.membership.run(minutes(3));
        fleet.publish(fleet.membership.vmsByAddress.at(memory_fleet::addressOf(0)), "3", 100);
        fleet.publish(fleet.membership.vmsByAddress.at(memory_fleet::addressOf(1)), "3", 101);
        fleet.membership.isCut = [](vm_id, vm_id) {
            return false;
        };
        BOOST_TEST(fleet.membership.runUntil([&] { return tablesComplete(fleet) && fleet.tablesAgree(); }, minutes(5)));
    });
}

BOOST_AUTO_TEST_CASE(bytes_burstOfChanges_withinBudgetAndUrgentFirst)
{
    spread_fleet fleet;
    fleet.membership.startAll(2);
    const vm_id owner = vmAt(fleet, 0);
    const vm_id other = vmAt(fleet, 1);
    BOOST_REQUIRE(fleet.membership.runUntil([&] { return fleet.membership.viewsAgree(); }, seconds(10)));
    fleet.membership.run(seconds(30));
    std::size_t bytes = 0;
    fleet.onEffect = [&](vm_id from, const spread_effect &effect) {
        const auto *send = std::get_if<send_spread>(&effect);
        const auto *delta = send && from == owner ? std::get_if<spread_delta>(&send->message) : nullptr;
        bytes += delta ? fleet.options.messageOverheadBytes : 0;
        for (std::size_t i = 0; delta && i < delta->entries.size(); ++i) {
            bytes += encodedBytes(delta->entries[i]);
        }
    };
    const std::vector<std::byte> payload(1'000);
    for (unsigned i = 0; i < 100; ++i) {
        fleet.react(owner, spread_publish{spread_topic::Diagnostics, std::to_string(i), payload});
    }
    fleet.publish(owner, "urgent", 1, spread_topic::Quarantine);
    fleet.membership.run(seconds(10));
    const double allowed = fleet.options.burstBytes + 10 * fleet.options.bytesPerSecond + 2'000;
    BOOST_TEST(static_cast<double>(bytes) < allowed);
    BOOST_TEST(static_cast<double>(bytes) > allowed / 2);
    BOOST_TEST(fleet.tableOf(other).entries.begin()->first.name == "urgent");
}

BOOST_AUTO_TEST_CASE(publish_tooLarge_numberedErrorAndNothingStored)
{
    spread_fleet fleet;
    const vm_id owner = fleet.membership.start(0);
    const spread_publish event{spread_topic::Health, "x", std::vector<std::byte>(5'000)};
    BOOST_CHECK_THROW(fleet.react(owner, event), coordination_error);
    BOOST_TEST(fleet.tableOf(owner).entries.empty());
}

BOOST_AUTO_TEST_CASE(beacon_leaderIssuesEachSecond_ageBoundedEverywhere)
{
    forEachSeed([](spread_fleet &fleet) {
        const vm_id leader = vmAt(fleet, 0);
        std::uint64_t counter = 0;
        const auto runWithLeader = [&](int time) {
            for (int second = 0; second < time; ++second) {
                issueBeacon(fleet.beacons[leader], {1}, ++counter, {9}, fleet.membership.now);
                fleet.membership.run(seconds(1));
            }
        };
        runWithLeader(20);
        for (int second = 0; second < 20; ++second) {
            runWithLeader(1);
            for (const auto &[id, each] : fleet.membership.vms) {
                const auto age = beaconAge(fleet.beacons[id], fleet.membership.now);
                BOOST_TEST((age && *age < seconds(5)));
                BOOST_TEST((fleet.beacons[id].newest->accepted == revision{9}));
            }
        }
        const instant silentSince = fleet.membership.now;
        fleet.membership.run(seconds(30));
        for (const auto &[id, each] : fleet.membership.vms) {
            BOOST_TEST((*beaconAge(fleet.beacons[id], fleet.membership.now) >= fleet.membership.now - silentSince));
        }
    });
}

BOOST_AUTO_TEST_CASE(beacon_vmFrozen_oldAnswersDoNotLookFresh)
{
    forEachSeed([](spread_fleet &fleet) {
        const vm_id leader = vmAt(fleet, 0);
        const vm_id frozen = vmAt(fleet, 9);
        issueBeacon(fleet.beacons[leader], {1}, 1, {9}, fleet.membership.now);
        fleet.membership.run(seconds(10));
        fleet.membership.freeze(frozen);
        fleet.membership.run(minutes(5));
        fleet.membership.thaw(frozen);
        BOOST_TEST((*beaconAge(fleet.beacons[frozen], fleet.membership.now) >= minutes(5)));
    });
}

// Guards against slow recovery after review/1: VMs that were cut off from the control VMs together refuse keyed
// requests until a beacon reaches them.
BOOST_AUTO_TEST_CASE(beacon_manyVmsCutOffThenBack_renewedByControlVms)
{
    forEachSeed([](spread_fleet &fleet) {
        std::set<vm_id> controls;
        for (const auto &[id, each] : fleet.membership.vms) {
            if (each.state.self.roles == ControlRole) {
                controls.insert(id);
            }
        }
        const vm_id leader = *controls.begin();
        const instant healsAt = fleet.membership.now + seconds(30);
        fleet.membership.isCut = [&fleet, controls, healsAt](vm_id from, vm_id to) {
            return fleet.membership.now < healsAt && controls.contains(from) != controls.contains(to);
        };
        std::uint64_t counter = 0;
        const auto renewEach = [&](duration time) {
            const instant end = fleet.membership.now + time;
            while (fleet.membership.now < end) {
                issueBeacon(fleet.beacons[leader], {1}, ++counter, {9}, fleet.membership.now);
                for (auto &[id, each] : fleet.membership.vms) {
                    if (takeRenewal(fleet.beacons[id], fleet.membership.now)) {
                        fleet.membership.react(each, membership_ping_wanted{ControlRole});
                    }
                }
                fleet.membership.run(milliseconds(100));
            }
        };
        renewEach(seconds(30));
        renewEach(seconds(3));
        for (const auto &[id, each] : fleet.membership.vms) {
            const auto age = beaconAge(fleet.beacons[id], fleet.membership.now);
            BOOST_TEST((age && *age < seconds(3)));
        }
    });
}

BOOST_AUTO_TEST_CASE(takeRenewal_oldBeacon_oncePerInterval)
{
    beacon_state state;
    const instant start{seconds(100)};
    issueBeacon(state, {1}, 1, {9}, start);
    BOOST_TEST(!takeRenewal(state, start + milliseconds(1'900)));
    BOOST_TEST(takeRenewal(state, start + milliseconds(2'000)));
    BOOST_TEST(!takeRenewal(state, start + milliseconds(2'399)));
    BOOST_TEST(takeRenewal(state, start + milliseconds(2'400)));
    issueBeacon(state, {1}, 2, {9}, start + milliseconds(2'500));
    BOOST_TEST(!takeRenewal(state, start + milliseconds(3'000)));
}

BOOST_AUTO_TEST_CASE(receiveBeacon_olderTermOrCounter_ignored)
{
    beacon_state state;
    const instant now{seconds(100)};
    BOOST_TEST(receiveBeacon(state, {.leaderTerm = {2}, .counter = 5, .accepted = {7}}, now));
    BOOST_TEST(!receiveBeacon(state, {.leaderTerm = {1}, .counter = 9, .accepted = {3}}, now + seconds(1)));
    BOOST_TEST(!receiveBeacon(state, {.leaderTerm = {2}, .counter = 4, .accepted = {6}}, now + seconds(1)));
    BOOST_TEST((*beaconAge(state, now + seconds(3)) == seconds(3)));
    BOOST_TEST(receiveBeacon(state, {.leaderTerm = {2}, .counter = 6, .accepted = {7}, .age = seconds(9)}, now));
    BOOST_TEST((*beaconAge(state, now + seconds(3)) == seconds(3)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
