#include "replication/racing_operators.h"
#include "replication/replica_fixture.h"
#include "replication/simulated_cluster.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <optional>
#include <string>
#include <vector>

namespace guavafront
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Replica 1 leads; replica 2 confirms each command, and replica 3 is silent.
struct log_size_fixture : replica_fixture {
    static constexpr std::size_t largeBytes = std::size_t{100} << 10; ///< Payload of a large command.
    std::size_t stateBytes = 1'000; ///< Size of the state machine's encoded state.
    std::size_t snapshots = 0; ///< Snapshots taken.

    log_size_fixture()
    {
        lead();
    }

    void lead()
    {
        elect();
        receive(2, self.currentTerm.value, append_answer{true, lastIndex(self.log)});
        sync();
    }

    /// Takes the snapshot that the last step asked for, if any.
    void takeSnapshot()
    {
        if (const auto *asked = find<take_snapshot>()) {
            ++snapshots;
            run(snapshot_taken{asked->index, std::vector<std::byte>(stateBytes)});
            sync();
        }
    }

    void propose(std::size_t bytes)
    {
        run(command_proposed{1, std::vector<std::byte>(bytes)});
        sync();
    }

    void commit(std::size_t bytes)
    {
        propose(bytes);
        receive(2, self.currentTerm.value, append_answer{true, lastIndex(self.log)});
        takeSnapshot();
    }

    void commitMany(std::size_t count, std::size_t bytes)
    {
        for (std::size_t done = 0; done < count; ++done) {
            commit(bytes);
        }
    }

    /// Returns the bytes of the commands of the kept records up to an index.
    static std::size_t commandBytes(const replicated_log &log, log_index last)
    {
        std::size_t bytes = 0;
        for (const log_record &record : log.records) {
            const auto *stored = std::get_if<command>(&record.content);
            bytes += stored && record.index <= last ? stored->payload.size() : 0;
        }
        return bytes;
    }

    std::size_t bytesBeforeSnapshot() const
    {
        return commandBytes(self.log, self.log.snapshot.index);
    }

    std::size_t allBytes() const
    {
        return commandBytes(self.log, lastIndex(self.log));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(log_size_test, log_size_fixture)

// Guards against a log of tens of MB that each start applies in one piece, each learner is sent, and memory holds
// twice.
BOOST_AUTO_TEST_CASE(log_largeCommands_boundedBySize)
{
    for (std::size_t done = 0; done < 200; ++done) {
        commit(largeBytes);
        BOOST_REQUIRE(allBytes() <= options.snapshotAfterBytes + options.keptBytes + largeBytes);
        BOOST_REQUIRE(bytesBeforeSnapshot() <= options.keptBytes);
    }
    BOOST_TEST(snapshots >= 4U);
    BOOST_TEST(bytesBeforeSnapshot() > options.keptBytes - 2 * largeBytes); // Slow followers need no snapshot.
    BOOST_CHECK(disk.log == self.log);
}

BOOST_AUTO_TEST_CASE(log_commandsOfUsualSize_cutByNumberOnly)
{
    options.snapshotAfterRecords = 400;
    options.keptRecords = 100;
    restart();
    lead();
    commitMany(397, 900);
    BOOST_TEST(snapshots == 0U);
    commit(900); // With the no-ops of two terms, the 400th record.
    BOOST_TEST(snapshots == 1U);
    BOOST_TEST(self.log.records.size() == 100U);
    commitMany(399, 900);
    BOOST_TEST(snapshots == 1U);
    commit(900);
    BOOST_TEST(snapshots == 2U);
    BOOST_TEST(self.log.records.size() == 100U);
}

// Guards against size limits that cut the log of usual commands earlier than the limits by number do.
BOOST_AUTO_TEST_CASE(limits_defaultsAndUsualCommands_numbersReachedFirst)
{
    commitMany(4'094, 900);
    BOOST_TEST(snapshots == 0U);
    commit(900);
    BOOST_TEST(snapshots == 1U);
    BOOST_TEST(self.log.records.size() == 1'024U);
}

// Guards against a large state that is encoded and written again for every few records.
BOOST_AUTO_TEST_CASE(snapshot_largeState_notTakenBeforeRecordsExceedIt)
{
    stateBytes = std::size_t{4} << 20;
    commitMany(50, largeBytes);
    BOOST_TEST(snapshots == 1U);
    commitMany(70, largeBytes);
    BOOST_TEST(snapshots == 1U);
    commitMany(70, largeBytes);
    BOOST_TEST(snapshots == 2U);
}

BOOST_AUTO_TEST_CASE(records_uncommittedAtTheSnapshot_kept)
{
    commitMany(40, largeBytes);
    const log_index committed = lastIndex(self.log);
    propose(largeBytes);
    const log_index between = lastIndex(self.log);
    for (int count = 0; count < 20; ++count) {
        propose(largeBytes);
    }
    receive(2, self.currentTerm.value, append_answer{true, between});
    takeSnapshot();
    BOOST_REQUIRE(snapshots == 1U);
    BOOST_CHECK(self.log.snapshot.index > committed);
    BOOST_CHECK(self.log.snapshot.index <= self.appliedIndex);
    BOOST_TEST(lastIndex(self.log).value == between.value + 20);
    for (log_index index{between.value + 1}; index <= lastIndex(self.log); ++index.value) {
        BOOST_TEST(recordAt(self.log, index).index.value == index.value);
    }
    // Records that were applied before the snapshot don't count for the next one, the later ones do.
    receive(2, self.currentTerm.value, append_answer{true, lastIndex(self.log)});
    takeSnapshot();
    commitMany(20, largeBytes);
    BOOST_TEST(snapshots == 1U);
    commitMany(2, largeBytes);
    BOOST_TEST(snapshots == 2U);
}

BOOST_AUTO_TEST_CASE(records_eachLargerThanTheKeptBytes_noneKeptAndFollowerGetsTheSnapshot)
{
    options.snapshotAfterBytes = 5'000;
    options.keptBytes = 1'000;
    restart();
    lead();
    commitMany(5, 2'000);
    BOOST_REQUIRE(snapshots >= 1U);
    BOOST_CHECK(self.log.precedingIndex == self.log.snapshot.index);
    receive(3, self.currentTerm.value, append_answer{false, {0}});
    BOOST_CHECK(sent<snapshot_chunk>().index == self.log.snapshot.index);
}

// Guards against a count that starts at zero although the log on the disk is large.
BOOST_AUTO_TEST_CASE(restart_largeLogOnTheDisk_cutOnceItIsApplied)
{
    commitMany(30, largeBytes);
    restart();
    lead();
    commitMany(15, largeBytes);
    BOOST_TEST(snapshots == 1U);
    BOOST_TEST(allBytes() <= options.snapshotAfterBytes + options.keptBytes);
}

BOOST_AUTO_TEST_CASE(follower_receivesSnapshot_countsRecordsAfterItOnly)
{
    options.snapshotAfterBytes = 5'000;
    restart();
    const auto append = [this](std::uint64_t index) {
        const log_record large{{index}, {3}, command{std::vector<std::byte>(2'000)}};
        receive(2, 3, append_request{{index - 1}, {index == 1 ? 0U : 3U}, {index}, {large}});
        const bool asked = find<take_snapshot>() != nullptr;
        sync();
        return asked;
    };
    BOOST_TEST(!append(1));
    BOOST_TEST(!append(2));
    receive(2, 3, snapshot_chunk{{10}, {3}, self.members, 3, 0, std::vector<std::byte>(3)});
    sync();
    BOOST_TEST(!append(11));
    BOOST_TEST(!append(12));
    BOOST_TEST(append(13));
}

// Guards against members that are behind or changes that are lost when logs are cut by size under faults.
BOOST_AUTO_TEST_CASE(schedule_cutBySizeUnderCrashes_nothingLost)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        replica_options small{.maxMessageBytes = 400, .targetVoters = 3};
        small.snapshotAfterBytes = 700;
        small.snapshotAfterStates = 1;
        small.keptBytes = 300;
        simulated_cluster cluster(seed, 3, small);
        const auto led = [&cluster] {
            return cluster.leader().value != 0;
        };
        cluster.runUntilTrue(led, seconds(10), "election of a leader");
        racing_operators operators(cluster, 2);
        cluster.lossPercent = 5;
        for (int fault = 0; fault < 8; ++fault) {
            const std::vector<vm_id> vms = cluster.currentVms();
            const vm_id vm = vms[cluster.random(vms.size())];
            cluster.crash(vm);
            cluster.runUntil(cluster.now() + milliseconds(cluster.random(1'500)));
            cluster.start(vm);
            cluster.runUntil(cluster.now() + milliseconds(cluster.random(1'500)));
        }
        cluster.lossPercent = 0;
        const std::size_t before = operators.accepted().size();
        cluster.runUntilTrue([&] { return operators.accepted().size() > before + 20; }, seconds(30), "recovery");
        const std::map<revision, std::string> accepted = operators.accepted();
        cluster.runUntil(cluster.now() + seconds(3));
        for (const vm_id vm : cluster.currentVms()) {
            BOOST_TEST_CONTEXT("seed " << seed << ", VM " << vm.value)
            {
                racing_operators::checkNothingLost(accepted, cluster.at(vm).stateMachine);
                BOOST_TEST(cluster.at(vm).state.log.precedingIndex.value > 0U);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
