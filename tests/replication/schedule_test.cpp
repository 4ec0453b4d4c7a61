#include "replication/racing_operators.h"
#include "replication/simulated_cluster.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <string>

namespace guavafront
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Runs random schedules of faults, one for each seed from 1 on. The environment variable GUAVAFRONT_SEED replays a
/// single seed; GUAVAFRONT_SCHEDULES sets the number of schedules.
struct schedule_fixture {
    static std::uint64_t numberFrom(const char *variable, std::uint64_t otherwise)
    {
        const char *text = std::getenv(variable);
        return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
    }

    /// Runs the schedule for each seed. Fails with the seed when the schedule throws.
    static void forEachSeed(std::uint64_t count, const std::function<void(std::uint64_t)> &schedule)
    {
        const std::uint64_t only = numberFrom("GUAVAFRONT_SEED", 0);
        const std::uint64_t last = only != 0 ? only : numberFrom("GUAVAFRONT_SCHEDULES", count);
        for (std::uint64_t seed = only != 0 ? only : 1; seed <= last; ++seed) {
            try {
                schedule(seed);
            } catch (const std::exception &fault) {
                BOOST_FAIL("GUAVAFRONT_SEED=" << seed << ": " << fault.what());
            }
        }
    }

    /// Starts a random fault and schedules its end and the next fault, until the given time.
    static void injectFaults(simulated_cluster &cluster, instant until)
    {
        if (cluster.now() >= until) {
            return;
        }
        const std::vector<vm_id> vms = cluster.currentVms();
        const vm_id vm = vms[cluster.random(vms.size())];
        const vm_id other = vms[cluster.random(vms.size())];
        const bool isShort = cluster.random(2) == 0;
        const milliseconds length(1 + cluster.random(isShort ? 100 : 3'000));
        switch (cluster.random(8)) {
        case 0:
            cluster.blockedLinks.insert({vm, other});
            cluster.after(length, [&cluster, vm, other] { cluster.blockedLinks.erase({vm, other}); });
            break;
        case 1:
            blockLinksOf(cluster, vm, length, cluster.random(3));
            break;
        case 2:
            crashFor(cluster, vm, length);
            break;
        case 3:
            freezeFor(cluster, cluster.random(2) == 0 ? vm : cluster.leader(), length);
            break;
        case 4:
            crashFor(cluster, cluster.leader(), length);
            break;
        case 5:
            for (const vm_id each : vms) {
                crashFor(cluster, each, milliseconds(1 + cluster.random(500)));
            }
            break;
        case 6:
            cluster.at(vm).slowDisk = true;
            cluster.after(length, [&cluster, vm] { cluster.at(vm).slowDisk = false; });
            break;
        default:
            if (!cluster.isChangingMembers() && vms.size() >= 3) {
                cluster.replaceVm(vm);
            }
        }
        cluster.after(milliseconds(cluster.random(600)), [&cluster, until] { injectFaults(cluster, until); });
    }

    /// Blocks the links between a VM and all others for some time. Direction 0 blocks both ways, 1 only the messages
    /// that the VM sends, 2 only those to the VM.
    static void blockLinksOf(simulated_cluster &cluster, vm_id vm, milliseconds length, std::uint64_t direction)
    {
        for (const vm_id other : cluster.currentVms()) {
            for (const auto &cut : {std::pair(vm, other), std::pair(other, vm)}) {
                if (direction == 0 || (direction == 1) == (cut.first == vm)) {
                    cluster.blockedLinks.insert(cut);
                    cluster.after(length, [&cluster, cut] { cluster.blockedLinks.erase(cut); });
                }
            }
        }
    }

    static void crashFor(simulated_cluster &cluster, vm_id vm, milliseconds length)
    {
        if (vm.value == 0 || !cluster.at(vm).up) {
            return;
        }
        cluster.crash(vm);
        cluster.after(length, [&cluster, vm] {
            const std::vector<vm_id> vms = cluster.currentVms();
            if (!cluster.at(vm).up && std::ranges::find(vms, vm) != vms.end()) {
                cluster.start(vm);
            }
        });
    }

    static void freezeFor(simulated_cluster &cluster, vm_id vm, milliseconds length)
    {
        if (vm.value == 0 || !cluster.at(vm).up) {
            return;
        }
        cluster.freeze(vm);
        cluster.after(length, [&cluster, vm] { cluster.thaw(vm); });
    }

    /// Returns whether no membership change is under way and every current VM has applied the leader's revisions but
    /// for the latest three.
    static bool hasConverged(simulated_cluster &cluster)
    {
        const vm_id leading = cluster.leader();
        return leading.value != 0 && !cluster.isChangingMembers()
               && std::ranges::all_of(cluster.currentVms(), [&cluster, leading](vm_id vm) {
                      return cluster.at(vm).stateMachine.current.atRevision.value + 3
                             >= cluster.at(leading).stateMachine.current.atRevision.value;
                  });
    }

    /// Runs one schedule: random faults for the given time, then none, so that the cluster must recover. Accepted
    /// changes must be present on all VMs at the end.
    static void runFaulty(std::uint64_t seed, std::size_t vms, seconds faulty)
    {
        simulated_cluster cluster(seed, vms);
        cluster.runUntilTrue([&] { return cluster.leader().value != 0 && hasConverged(cluster); }, seconds(10),
                             "formation of the cluster");
        racing_operators operators(cluster, 2);
        cluster.lossPercent = cluster.random(10);
        cluster.duplicatePercent = cluster.random(10);
        injectFaults(cluster, cluster.now() + faulty);
        cluster.runUntil(cluster.now() + faulty + seconds(5));
        cluster.lossPercent = 0;
        const std::size_t before = operators.accepted().size();
        cluster.runUntilTrue([&] { return operators.accepted().size() > before + 3 && hasConverged(cluster); },
                             seconds(30), "recovery after the faults");
        const std::map<revision, std::string> accepted = operators.accepted();
        cluster.runUntil(cluster.now() + seconds(2));
        for (const vm_id vm : cluster.currentVms()) {
            racing_operators::checkNothingLost(accepted, cluster.at(vm).stateMachine);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(schedule_test, schedule_fixture)

BOOST_AUTO_TEST_CASE(schedule_threeVmsAllFaults_invariantsHold)
{
    forEachSeed(1'000, [](std::uint64_t seed) { runFaulty(seed, 3, seconds(8)); });
}

BOOST_AUTO_TEST_CASE(schedule_fiveVmsAllFaults_invariantsHold)
{
    forEachSeed(200, [](std::uint64_t seed) { runFaulty(seed, 5, seconds(8)); });
}

BOOST_AUTO_TEST_CASE(leaderKilled_atEachEffectOfAChange_resendDecidedOnce)
{
    bool reached = true;
    for (std::uint64_t killAt = 1; reached; ++killAt) {
        simulated_cluster cluster(killAt, 3);
        cluster.runUntilTrue([&] { return cluster.leader().value != 0 && hasConverged(cluster); }, seconds(10),
                             "formation of the cluster");
        const vm_id leading = cluster.leader();
        std::uint64_t count = 0;
        reached = false;
        cluster.onEffect = [&](vm_id vm, const replica_effect &) {
            if (vm == leading && ++count == killAt) {
                reached = true;
                crashFor(cluster, vm, milliseconds(cluster.random(3'000)));
            }
        };
        std::optional<change_answer> answer;
        const change_proposal proposal =
            makeProposal({operator_role::Operator, {}}, {{1, 1}, {}, {create_account{"a"}}});
        const auto keepAccepted = [&answer](std::uint64_t, const auto &received) {
            if (received && received->code == result_code::Ok) {
                answer = received;
            }
        };
        cluster.propose(leading, proposal, keepAccepted);
        cluster.runUntil(cluster.now() + seconds(1));
        const bool decidedAtOnce = answer.has_value();
        cluster.runUntilTrue([&] { return hasConverged(cluster); }, seconds(10),
                             "recovery after the crash of the leader");
        cluster.propose(cluster.leader(), proposal, keepAccepted);
        cluster.runUntilTrue([&] { return answer.has_value(); }, seconds(5), "answer to the resend");
        BOOST_TEST(answer->atRevision.value == 1U);
        reached = reached && !decidedAtOnce;
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
