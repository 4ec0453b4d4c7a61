#include "control/control_cluster.h"

#include <glog/logging.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <future>
#include <vector>

namespace
{

using namespace guavafront;

constexpr std::uint64_t sequentialChanges = 800;
constexpr std::uint64_t burstSize = 64;

double secondsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

double cpuSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void waitForVoters(control_cluster &cluster, std::size_t count)
{
    cluster.waitUntil([&] {
        cluster.announceAll();
        return voterCount(cluster.statusOf(cluster.waitForLeader()).members) == count;
    });
}

/// Measures changes one after the other: each is synced by a quorum before the next one is sent.
void measureSequentialChanges(control_cluster &cluster)
{
    const auto start = std::chrono::steady_clock::now();
    const double cpu = cpuSeconds();
    for (std::uint64_t id = 1; id <= sequentialChanges; ++id) {
        cluster.submit(cluster.waitForLeader(), control_cluster::accountCreation(id, {id - 1}));
    }
    std::printf("sequential: %.0f changes/s, %.0f us of CPU a change over the three VMs together\n",
                static_cast<double>(sequentialChanges) / secondsSince(start),
                (cpuSeconds() - cpu) / static_cast<double>(sequentialChanges) * 1e6);
}

/// Measures bursts of concurrent proposals, which share syncs. All expect the same revision, so that at most one of
/// each burst is accepted.
void measureBursts(control_cluster &cluster)
{
    const auto start = std::chrono::steady_clock::now();
    const std::size_t leading = cluster.waitForLeader();
    std::uint64_t decided = 0;
    std::uint64_t id = 100'000;
    while (secondsSince(start) < 3) {
        std::vector<std::future<void>> answers;
        for (std::uint64_t i = 0; i < burstSize; ++i) {
            auto promise = std::make_shared<std::promise<void>>();
            answers.push_back(promise->get_future());
            cluster.inboxOf(leading).post(change_submitted{{operator_role::Operator, {}},
                                                           control_cluster::accountCreation(++id, {0}),
                                                           [promise](const change_answer &) {
                                                               promise->set_value();
                                                           }});
        }
        for (std::future<void> &answer : answers) {
            answer.wait();
        }
        decided += burstSize;
    }
    std::printf("bursts of %d: %.0f proposals decided/s\n", static_cast<int>(burstSize),
                static_cast<double>(decided) / secondsSince(start));
}

/// Measures how long a VM that lost its disk takes until it is a voter again.
void measureRejoin(control_cluster &cluster)
{
    const std::size_t lost = cluster.waitForLeader() == 2 ? 1 : 2;
    std::vector<vm_id> voters;
    for (const std::size_t vm : {0U, 1U, 2U}) {
        voters.push_back(cluster.identityOf(vm));
    }
    cluster.stop(lost);
    cluster.loseDisk(lost);
    const auto start = std::chrono::steady_clock::now();
    cluster.start(lost);
    const vm_id old = voters[lost];
    voters[lost] = cluster.identityOf(lost);
    cluster.waitUntil([&] {
        const result_code code = cluster.replace(old, voters[lost]).code;
        return code == result_code::Ok || code == result_code::SubjectExists;
    });
    cluster.waitForVoters(voters);
    std::printf("disk lost after %d changes: a voter again after %.2f s\n", static_cast<int>(sequentialChanges),
                secondsSince(start));
}

} // namespace

/// Benchmarks three control tasks in one process, with data folders under TMPDIR and messages passed without a network.
int main(int /*argc*/, char **argv)
{
    FLAGS_minloglevel = google::GLOG_ERROR;
    google::InitGoogleLogging(argv[0]);
    control_cluster cluster(3);
    waitForVoters(cluster, 3);
    measureSequentialChanges(cluster);
    const std::uint64_t messages = cluster.messageCount();
    const std::uint64_t bytes = cluster.messageBytes();
    std::printf("replication: %.0f bytes and %.1f messages a change\n",
                static_cast<double>(bytes) / static_cast<double>(sequentialChanges),
                static_cast<double>(messages) / static_cast<double>(sequentialChanges));
    measureRejoin(cluster);
    measureBursts(cluster);
    return EXIT_SUCCESS;
}
