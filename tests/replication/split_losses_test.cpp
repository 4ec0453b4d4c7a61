#include "replication/racing_operators.h"
#include "replication/simulated_fleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <vector>

namespace guavafront
{

namespace
{

using std::chrono::seconds;

/// Nine control VMs with one operator. The platform tolerates the loss of two.
struct split_fixture {
    simulated_fleet fleet{1, 9, 15, 2};
    simulated_cluster &cluster = fleet.cluster;
    racing_operators operators{cluster, 1};

    split_fixture()
    {
        cluster.runUntilTrue([this] { return fleet.isWhole(); }, seconds(15), "the start of the fleet");
        cluster.runUntil(cluster.now() + seconds(2)); // The failure detectors have seen all VMs.
    }

    /// Returns running VMs on the leader's side of the split, without the leader.
    std::vector<vm_id> besideLeader()
    {
        std::vector<vm_id> found;
        for (const vm_id vm : cluster.currentVms()) {
            if (vm != cluster.leader() && cluster.at(vm).up && !fleet.links().half.contains(vm)) {
                found.push_back(vm);
            }
        }
        return found;
    }

    /// Cuts four VMs that don't lead off from the other five.
    void splitBesideLeader()
    {
        simulated_links links;
        links.isSplit = true;
        const std::vector<vm_id> others = besideLeader();
        links.half = {others.begin(), others.begin() + 4};
        fleet.setLinks(links);
    }

    std::size_t leaderVoters()
    {
        return voterCount(cluster.at(cluster.leader()).state.members);
    }

    void runUntilAccepted()
    {
        const std::size_t before = operators.accepted().size();
        cluster.runUntilTrue([&] { return operators.accepted().size() > before; }, seconds(10), "an accepted change");
    }

    /// Waits until all VMs vote, and checks that the leader holds all that was accepted before.
    void recover()
    {
        const std::map<revision, std::string> accepted = operators.accepted();
        cluster.runUntilTrue([this] { return fleet.isWhole(); }, seconds(15), "recovery");
        racing_operators::checkNothingLost(accepted, cluster.at(cluster.leader()).stateMachine);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(split_losses_test, split_fixture)

// Each is removed as lost on the larger side, and comes back with its disk, which names it as a voter.
BOOST_AUTO_TEST_CASE(vms_removedWhileCutOffAndBack_voteAgain)
{
    splitBesideLeader();
    cluster.runUntilTrue([this] { return leaderVoters() == 5; }, seconds(10), "removal of the VMs behind the split");
    runUntilAccepted();
    fleet.setLinks({});
    recover();
}

// Guards against a cluster so small that the disks whose loss is tolerated hold the only copies of a change.
BOOST_AUTO_TEST_CASE(disks_lostAfterRemovalsDuringASplit_nothingAcceptedLost)
{
    splitBesideLeader();
    cluster.runUntilTrue([this] { return leaderVoters() == 5; }, seconds(10), "removal of the VMs behind the split");
    std::vector<vm_id> down = besideLeader();
    down.resize(2);
    for (const vm_id vm : down) {
        cluster.crash(vm);
    }
    cluster.runUntil(cluster.now() + seconds(8)); // Long enough to remove them.
    runUntilAccepted();
    std::vector<vm_id> losesDisk = besideLeader();
    losesDisk.resize(1);
    losesDisk.push_back(cluster.leader());
    for (const vm_id vm : cluster.currentVms()) {
        const bool losesItsDisk = std::ranges::find(losesDisk, vm) != losesDisk.end();
        if (cluster.at(vm).up) {
            cluster.crash(vm);
        }
        if (losesItsDisk) {
            fleet.addVm(fleet.addressOf(vm));
        } else {
            cluster.start(vm);
        }
    }
    fleet.setLinks({});
    recover();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
