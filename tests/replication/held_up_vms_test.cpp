#include "replication/simulated_cluster.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <string>

namespace guavafront
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// How long, and how often, processes stand still while nothing is lost.
struct hold_ups {
    milliseconds shortest; ///< Shortest time for which a VM stands still.
    milliseconds longest; ///< Longest one.
    milliseconds between; ///< Mean time for which a VM runs between two of them.
};

/// What a run without losses showed.
struct leadership_record {
    duration longestGap{}; ///< Longest time without a confirmed leader.
    std::uint64_t terms = 0; ///< Terms that began.
};

/// Control VMs that all live, and whose processes stand still now and then, each by itself.
struct held_up_vms_fixture {
    static constexpr seconds ackLimit{4}; ///< Time in which an operator's change must be accepted.

    static void holdUp(simulated_cluster &cluster, vm_id vm, const hold_ups &times)
    {
        const auto runs =
            static_cast<std::int64_t>(cluster.random(2 * static_cast<std::uint64_t>(times.between.count())));
        cluster.after(milliseconds(runs), [&cluster, vm, times] {
            const auto spread = static_cast<std::uint64_t>((times.longest - times.shortest).count()) + 1;
            const milliseconds stands =
                times.shortest + milliseconds(static_cast<std::int64_t>(cluster.random(spread)));
            cluster.freeze(vm);
            cluster.after(stands, [&cluster, vm, times] {
                cluster.thaw(vm);
                holdUp(cluster, vm, times);
            });
        });
    }

    static leadership_record play(std::uint64_t seed, std::size_t vms, const hold_ups &times)
    {
        simulated_cluster cluster(seed, vms);
        cluster.runUntilTrue([&cluster] { return !cluster.isChangingMembers(); }, seconds(20), "formation");
        for (const vm_id vm : cluster.currentVms()) {
            holdUp(cluster, vm, times);
        }
        leadership_record record;
        instant lastConfirmed = cluster.now();
        const term first = cluster.at(cluster.leader()).state.currentTerm;
        term last = first;
        for (const instant end = cluster.now() + seconds(60); cluster.now() < end;) {
            cluster.runUntil(cluster.now() + milliseconds(20));
            for (const vm_id vm : cluster.currentVms()) {
                const replica &state = cluster.at(vm).state;
                last = std::max(last, state.currentTerm);
                lastConfirmed = std::max(lastConfirmed, leadershipConfirmedAt(state).value_or(instant{}));
            }
            record.longestGap = std::max(record.longestGap, duration(cluster.now() - lastConfirmed));
        }
        record.terms = last.value - first.value;
        return record;
    }
};

/// Control VMs that all start again, each of which handles few messages a second.
struct busy_vms_fixture {
    static constexpr seconds recovery{15}; ///< Time in which a leader must be confirmed.
    static constexpr seconds startWork{3}; ///< Time after its start in which a VM reads no messages.

    static void restartAll(std::uint64_t seed, std::size_t vms, duration messageTime)
    {
        simulated_cluster cluster(seed, vms);
        cluster.runUntilTrue([&cluster] { return !cluster.isChangingMembers(); }, seconds(20), "formation");
        for (const vm_id vm : cluster.currentVms()) {
            cluster.crash(vm);
        }
        cluster.messageTime = messageTime;
        for (const vm_id vm : cluster.currentVms()) {
            cluster.after(milliseconds(cluster.random(1'000)), [&cluster, vm] {
                cluster.start(vm);
                cluster.at(vm).busyUntil = cluster.now() + startWork;
            });
        }
        const auto isLed = [&cluster] {
            const vm_id leading = cluster.leader();
            return leading.value != 0 && leadershipConfirmedAt(cluster.at(leading).state).has_value();
        };
        cluster.runUntilTrue(isLed, recovery, "a confirmed leader, seed " + std::to_string(seed));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(busy_vms_test, busy_vms_fixture)

// Guards against pre-votes without an end: their requests alone kept the VMs too busy to answer in time.
BOOST_AUTO_TEST_CASE(startOfAll_preVotesTakeAllTheTime_leaderConfirmed)
{
    const duration heartbeat = replica_options{}.heartbeatInterval;
    for (const std::size_t vms : {5U, 11U, 15U}) {
        // The answers to its heartbeats occupy a leader for so many percent of its time.
        for (const std::int64_t percent : {60, 80}) {
            const duration messageTime = heartbeat * percent / 100 / static_cast<std::int64_t>(vms - 1);
            for (std::uint64_t seed = 1; seed <= 10; ++seed) {
                BOOST_TEST_CONTEXT(vms << " VMs, " << percent << "%")
                BOOST_CHECK_NO_THROW(restartAll(seed, vms, messageTime));
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(held_up_vms_test, held_up_vms_fixture)

// Guards against leaders that are lost again and again while control VMs are short of processor time.
BOOST_AUTO_TEST_CASE(leader_vmsStandStillNowAndThen_confirmedInTimeForChanges)
{
    const hold_ups seldomAndLong{milliseconds(400), milliseconds(900), milliseconds(2'000)};
    const hold_ups oftenAndShort{milliseconds(100), milliseconds(700), milliseconds(500)};
    for (const hold_ups &times : {seldomAndLong, oftenAndShort}) {
        for (const std::size_t vms : {5U, 11U, 15U}) {
            for (std::uint64_t seed = 1; seed <= 20; ++seed) {
                const leadership_record record = play(seed, vms, times);
                BOOST_TEST_MESSAGE(vms << " VMs, seed " << seed << ": " << record.terms << " terms");
                BOOST_TEST(record.longestGap < ackLimit, vms << " VMs, seed " << seed);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
