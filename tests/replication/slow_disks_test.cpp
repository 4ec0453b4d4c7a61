#include "replication/simulated_cluster.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>

namespace guavafront
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Control VMs that all start again, with disks on which each sync takes the same time.
struct slow_disks_fixture {
    static constexpr seconds recovery{15}; ///< Time in which a leader must be confirmed.

    static void restartAll(std::uint64_t seed, std::size_t vms, milliseconds syncTime)
    {
        simulated_cluster cluster(seed, vms);
        cluster.runUntilTrue([&cluster] { return !cluster.isChangingMembers(); }, seconds(20), "formation");
        for (const vm_id vm : cluster.currentVms()) {
            cluster.crash(vm);
            cluster.at(vm).syncTime = syncTime;
        }
        for (const vm_id vm : cluster.currentVms()) {
            cluster.after(milliseconds(cluster.random(300)), [&cluster, vm] { cluster.start(vm); });
        }
        const auto isLed = [&cluster] {
            const vm_id leading = cluster.leader();
            return leading.value != 0 && leadershipConfirmedAt(cluster.at(leading).state).has_value();
        };
        cluster.runUntilTrue(isLed, recovery, "a confirmed leader, seed " + std::to_string(seed));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(slow_disks_test, slow_disks_fixture)

// Guards against elections without an end: each vote reached the disks only after the candidate's deadline.
BOOST_AUTO_TEST_CASE(startOfAll_syncsSlowerThanTheFirstTimeout_leaderConfirmed)
{
    for (const std::size_t vms : {5U, 15U}) {
        for (const milliseconds syncTime : {milliseconds(60), milliseconds(150), milliseconds(350)}) {
            for (std::uint64_t seed = 1; seed <= 20; ++seed) {
                BOOST_CHECK_NO_THROW(restartAll(seed, vms, syncTime));
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
