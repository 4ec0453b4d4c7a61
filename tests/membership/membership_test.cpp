#include "membership/memory_fleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace guavafront
{

namespace
{

using std::chrono::minutes;
using std::chrono::seconds;

/// Runs cases on a simulated fleet of 48 VMs in three data centres, once for each of several random seeds.
struct membership_fixture {
    static constexpr std::size_t fleetSize = 48;
    static constexpr std::uint64_t randomSeedCount = 5;

    /// For each random seed, starts a fleet, waits until all views agree and runs a case on it.
    static void forEachSeed(const std::function<void(memory_fleet &)> &body)
    {
        for (std::uint64_t seed = 1; seed <= randomSeedCount; ++seed) {
            BOOST_TEST_CONTEXT("seed " << seed)
            {
                memory_fleet fleet;
                fleet.random = {seed};
                fleet.startAll(fleetSize);
                BOOST_REQUIRE(fleet.runUntil([&fleet] { return fleet.viewsAgree(); }, seconds(60)));
                body(fleet);
            }
        }
    }

    /// The VM at a position in the order of ids.
    static vm_id vmAt(const memory_fleet &fleet, std::size_t position)
    {
        return std::next(fleet.vms.begin(), static_cast<std::ptrdiff_t>(position))->first;
    }

    static char dataCentreLetterOf(const memory_fleet &fleet, vm_id id)
    {
        const auto found = fleet.vms.find(id);
        return found == fleet.vms.end() ? ' ' : found->second.state.self.dataCentre[0];
    }

    static bool viewsAgreeWithin(memory_fleet &fleet, duration limit)
    {
        return fleet.runUntil([&fleet] { return fleet.viewsAgree(); }, limit);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(membership_test, membership_fixture)

BOOST_AUTO_TEST_CASE(fleet_allStartAtOnce_viewsEqual)
{
    forEachSeed([](memory_fleet &fleet) {
        const std::uint64_t expected = viewFingerprint(fleet.vms.begin()->second.state);
        for (const auto &[id, each] : fleet.vms) {
            BOOST_TEST(viewFingerprint(each.state) == expected);
            BOOST_TEST(each.state.targets.size() == fleet.options.ringCount);
        }
    });
}

BOOST_AUTO_TEST_CASE(start_seedsListenLater_joinedSoonAfterwards)
{
    for (std::uint64_t seed = 1; seed <= randomSeedCount; ++seed) {
        memory_fleet fleet;
        fleet.random = {seed};
        for (std::size_t slot = memory_fleet::seedCount; slot < fleetSize; ++slot) {
            fleet.start(slot);
        }
        fleet.run(std::chrono::milliseconds(350));
        for (std::size_t slot = 0; slot < memory_fleet::seedCount; ++slot) {
            fleet.start(slot);
        }
        const auto allHaveTargets = [&fleet] {
            return std::ranges::all_of(fleet.vms, [&fleet](const auto &each) {
                return each.second.state.targets.size() == fleet.options.ringCount;
            });
        };
        BOOST_TEST(fleet.runUntil(allHaveTargets, std::chrono::milliseconds(600)), "seed " << seed);
    }
}

// Guards against a fleet that stays apart for good: all VMs start again, and every seed is a machine that is gone.
BOOST_AUTO_TEST_CASE(startOfAll_seedsGone_joinedThroughTheBooksOfControlVms)
{
    constexpr std::size_t firstSlot = 10;
    constexpr std::size_t controls = 5;
    constexpr auto slowestStart = seconds(10);
    constexpr auto recovery = seconds(15);
    std::vector<std::string> book;
    for (std::size_t slot = firstSlot; slot < firstSlot + fleetSize; ++slot) {
        book.push_back(memory_fleet::addressOf(slot));
    }
    for (std::uint64_t seed = 1; seed <= randomSeedCount; ++seed) {
        memory_fleet fleet;
        fleet.random = {seed};
        fleet.controlCount = firstSlot + controls;
        for (std::size_t slot = firstSlot; slot < firstSlot + fleetSize; ++slot) {
            fleet.start(slot, {}, slot < fleet.controlCount ? book : std::vector<std::string>{});
            const bool startsLate = slot % 3 == 0;
            fleet.run(startsLate ? slowestStart / fleetSize * 3 : duration{});
        }
        BOOST_TEST(viewsAgreeWithin(fleet, recovery), "seed " << seed);
    }
}

// Guards against halves that stay apart: all VMs start again while they are cut off from each other.
BOOST_AUTO_TEST_CASE(startOfAll_seedsGoneAndHalvesCutOff_joinedAfterTheCut)
{
    constexpr std::size_t firstSlot = 10;
    constexpr std::size_t controls = 5;
    std::vector<std::string> book;
    for (std::size_t slot = firstSlot; slot < firstSlot + controls; ++slot) {
        book.push_back(memory_fleet::addressOf(slot));
    }
    for (std::uint64_t seed = 1; seed <= randomSeedCount; ++seed) {
        memory_fleet fleet;
        fleet.random = {seed};
        std::map<vm_id, bool> half;
        fleet.isCut = [&half](vm_id from, vm_id to) {
            return half[from] != half[to];
        };
        for (std::size_t index = 0; index < controls; ++index) {
            half[fleet.start(firstSlot + index, {}, book)] = index < controls / 2;
        }
        fleet.run(seconds(10));
        BOOST_TEST(!fleet.viewsAgree());
        fleet.isCut = [](vm_id, vm_id) {
            return false;
        };
        BOOST_TEST(viewsAgreeWithin(fleet, seconds(15)), "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(fleet_sameSeed_sameRun)
{
    memory_fleet first;
    memory_fleet second;
    for (memory_fleet *each : {&first, &second}) {
        each->startAll(fleetSize);
        each->run(seconds(20));
    }
    BOOST_TEST(first.random.state == second.random.state);
    BOOST_TEST(first.queue.size() == second.queue.size());
}

BOOST_AUTO_TEST_CASE(vm_crashes_deadEverywhereAndNoOther)
{
    forEachSeed([](memory_fleet &fleet) {
        fleet.kill(vmAt(fleet, 20));
        BOOST_TEST(viewsAgreeWithin(fleet, seconds(15)));
    });
}

BOOST_AUTO_TEST_CASE(vm_leaves_gonePromptlyAndNotMissing)
{
    forEachSeed([](memory_fleet &fleet) {
        const vm_id leaver = vmAt(fleet, 20);
        fleet.react(fleet.vms.at(leaver), membership_leave{});
        fleet.kill(leaver);
        BOOST_TEST(viewsAgreeWithin(fleet, seconds(4)));
        for (const auto &[id, each] : fleet.vms) {
            BOOST_TEST(each.state.missingCount == 0U);
        }
    });
}

BOOST_AUTO_TEST_CASE(link_cutOneWayBetweenTwoVms_nobodyDead)
{
    forEachSeed([](memory_fleet &fleet) {
        const vm_id from = vmAt(fleet, 3);
        const vm_id to = fleet.vms.at(from).state.targets.begin()->first;
        fleet.isCut = [from, to](vm_id source, vm_id target) {
            return source == from && target == to;
        };
        for (int second = 0; second < 60; ++second) {
            fleet.run(seconds(1));
            BOOST_TEST(fleet.noneConsideredDead());
        }
    });
}

BOOST_AUTO_TEST_CASE(link_cutOneWayBetweenDataCentres_nobodyDead)
{
    forEachSeed([](memory_fleet &fleet) {
        fleet.isCut = [&fleet](vm_id from, vm_id to) {
            return dataCentreLetterOf(fleet, from) == 'a' && dataCentreLetterOf(fleet, to) == 'b';
        };
        for (int second = 0; second < 60; ++second) {
            fleet.run(seconds(1));
            BOOST_TEST(fleet.noneConsideredDead());
        }
    });
}

BOOST_AUTO_TEST_CASE(vm_cannotReceiveOrCannotSend_rejoinsAfterTheCut)
{
    forEachSeed([](memory_fleet &fleet) {
        const vm_id cannotReceive = vmAt(fleet, 5);
        const vm_id cannotSend = vmAt(fleet, 30);
        fleet.isCut = [cannotReceive, cannotSend](vm_id from, vm_id to) {
            return to == cannotReceive || from == cannotSend;
        };
        fleet.run(minutes(2));
        BOOST_TEST(aliveShare(fleet.vms.at(cannotReceive).state, fleet.now) < 0.3);
        BOOST_TEST(aliveShare(fleet.vms.at(cannotSend).state, fleet.now) < 0.3);
        fleet.isCut = [](vm_id, vm_id) {
            return false;
        };
        BOOST_TEST(viewsAgreeWithin(fleet, minutes(1)));
    });
}

BOOST_AUTO_TEST_CASE(messages_oneInTwentyLost_nobodyStaysDead)
{
    forEachSeed([](memory_fleet &fleet) {
        fleet.isCut = [&fleet](vm_id, vm_id) {
            return fleet.random.below(20) == 0;
        };
        fleet.run(minutes(3));
        BOOST_TEST(fleet.noneConsideredDead());
    });
}

BOOST_AUTO_TEST_CASE(vm_frozenThenThawed_aliveAgainAndAccusesNobody)
{
    forEachSeed([](memory_fleet &fleet) {
        const vm_id frozen = vmAt(fleet, 17);
        fleet.freeze(frozen);
        fleet.run(minutes(1));
        std::size_t accusations = 0;
        fleet.onEffect = [&accusations, frozen](memory_fleet::vm &self, const membership_effect &effect) {
            const auto *change = std::get_if<member_changed>(&effect);
            accusations += self.state.self.id == frozen && change && change->record.status == member_status::Suspect;
        };
        fleet.thaw(frozen);
        BOOST_TEST(viewsAgreeWithin(fleet, seconds(20)));
        BOOST_TEST(accusations == 0U);
    });
}

BOOST_AUTO_TEST_CASE(vms_hundredRestarts_viewsFollow)
{
    forEachSeed([](memory_fleet &fleet) {
        for (std::size_t i = 0; i < 100; ++i) {
            const std::size_t slot = fleet.random.below(fleetSize);
            fleet.kill(fleet.vmsByAddress.at(memory_fleet::addressOf(slot)));
            fleet.start(slot);
            fleet.run(seconds(1));
        }
        BOOST_TEST(viewsAgreeWithin(fleet, seconds(30)));
        for (const auto &[id, each] : fleet.vms) {
            BOOST_TEST(each.state.missingCount == 0U);
        }
    });
}

BOOST_AUTO_TEST_CASE(vm_restartsUnderItsOldIdentifier_aliveAgain)
{
    forEachSeed([](memory_fleet &fleet) {
        const vm_id control = fleet.vmsByAddress.at(memory_fleet::addressOf(0));
        fleet.kill(control);
        fleet.run(seconds(20));
        fleet.start(0, control);
        BOOST_TEST(viewsAgreeWithin(fleet, seconds(20)));
    });
}

BOOST_AUTO_TEST_CASE(rack_lost_deadEverywhereAndNoOther)
{
    forEachSeed([](memory_fleet &fleet) {
        for (std::size_t i = 0; i < 8; ++i) {
            fleet.kill(vmAt(fleet, 5));
        }
        BOOST_TEST(viewsAgreeWithin(fleet, seconds(30)));
        for (const auto &[id, each] : fleet.vms) {
            BOOST_TEST(each.state.missingCount == 8U);
            BOOST_TEST(aliveShare(each.state, fleet.now) > 0.5);
        }
    });
}

BOOST_AUTO_TEST_CASE(dataCentre_cutOffThenBack_everyoneAliveAgain)
{
    forEachSeed([](memory_fleet &fleet) {
        fleet.isCut = [&fleet](vm_id from, vm_id to) {
            return (dataCentreLetterOf(fleet, from) == 'a') != (dataCentreLetterOf(fleet, to) == 'a');
        };
        fleet.run(minutes(5));
        for (const auto &[id, each] : fleet.vms) {
            const double share = aliveShare(each.state, fleet.now);
            BOOST_TEST((each.state.self.dataCentre == "a" ? share < 0.5 : share > 0.5));
        }
        fleet.isCut = [](vm_id, vm_id) {
            return false;
        };
        BOOST_TEST(viewsAgreeWithin(fleet, minutes(2)));
    });
}

BOOST_AUTO_TEST_CASE(aliveShare_cutOffAlone_nearZeroAndDeclaresNobodyDead)
{
    forEachSeed([](memory_fleet &fleet) {
        const vm_id alone = vmAt(fleet, 11);
        fleet.isCut = [alone](vm_id from, vm_id to) {
            return from == alone || to == alone;
        };
        fleet.run(seconds(5));
        BOOST_TEST(aliveShare(fleet.vms.at(alone).state, fleet.now) < 0.3);
        fleet.run(minutes(8));
        BOOST_TEST(aliveShare(fleet.vms.at(alone).state, fleet.now) < 0.3);
        BOOST_TEST(fleet.vms.at(alone).state.aliveCount == fleetSize);
        fleet.isCut = [](vm_id, vm_id) {
            return false;
        };
        BOOST_TEST(viewsAgreeWithin(fleet, minutes(1)));
    });
}

BOOST_AUTO_TEST_CASE(aliveShare_controlVmsAway_staysHigh)
{
    forEachSeed([](memory_fleet &fleet) {
        for (std::size_t slot = 0; slot < memory_fleet::seedCount; ++slot) {
            fleet.kill(fleet.vmsByAddress.at(memory_fleet::addressOf(slot)));
        }
        fleet.run(minutes(1));
        for (const auto &[id, each] : fleet.vms) {
            BOOST_TEST(aliveShare(each.state, fleet.now) > 0.9);
        }
    });
}

BOOST_AUTO_TEST_CASE(deadVm_pastRetention_forgotten)
{
    memory_fleet fleet;
    fleet.options.retention = minutes(2);
    fleet.startAll(5);
    BOOST_REQUIRE(viewsAgreeWithin(fleet, seconds(30)));
    const vm_id dead = vmAt(fleet, 4);
    fleet.kill(dead);
    fleet.run(minutes(3));
    for (const auto &[id, each] : fleet.vms) {
        BOOST_TEST(!findMember(each.state, dead));
        BOOST_TEST(each.state.missingCount == 0U);
    }
}

BOOST_AUTO_TEST_CASE(digest_senderNamesAnotherVm_ignored)
{
    memory_fleet fleet;
    memory_fleet::vm &victim = fleet.vms.at(fleet.start(0));
    fleet.react(victim, membership_received{{5}, membership_digest{.sender = {.id = {6}}}});
    BOOST_TEST(!findMember(victim.state, {6}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
