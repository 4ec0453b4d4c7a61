#include "daemon/control/replica_host.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <filesystem>
#include <optional>
#include <string>
#include <thread>

namespace guavafront
{

namespace
{

/// The only voter of a cluster, whose state machine needs time for each record.
struct replica_host_fixture {
    static constexpr std::size_t records = 20; ///< Commands in the log.
    static constexpr std::chrono::milliseconds applyTime{30}; ///< Longer than a slice.
    std::filesystem::path folder = std::filesystem::temp_directory_path() / "replica_host_XXXXXX";
    std::size_t applied = 0; ///< Commands that the state machine has applied since the latest start.
    std::size_t turns = 0; ///< Other events that were handled between the first and the last of them.
    std::optional<std::size_t>
        appliedAtAnswer; ///< Commands that had been applied when a leader's records were answered.
    bool reportedEarly = false; ///< The state was reported as complete between the first and the last of them.

    replica_host_fixture()
    {
        std::string pattern = folder.string();
        folder = mkdtemp(pattern.data());
        replica_store::bootstrap(folder, {1}, {7}, std::array{vm_id{1}});
    }

    ~replica_host_fixture()
    {
        std::filesystem::remove_all(folder);
    }

    replica_host_fixture(const replica_host_fixture &) = delete;
    replica_host_fixture &operator=(const replica_host_fixture &) = delete;

    /// Callbacks that count what the state machine applies and stop the loop when it holds all commands.
    replica_host_callbacks countingCallbacks(loop &owner, std::chrono::milliseconds timeForEach)
    {
        applied = 0;
        replica_host_callbacks callbacks;
        callbacks.send = [this](const replication_message &message) {
            if (std::holds_alternative<append_answer>(message.body) && !appliedAtAnswer) {
                appliedAtAnswer = applied;
            }
        };
        callbacks.apply = [this, timeForEach](const log_record &record) {
            if (std::holds_alternative<command>(record.content)) {
                std::this_thread::sleep_for(timeForEach);
                ++applied;
            }
        };
        callbacks.load = [](const log_snapshot &) {
        };
        callbacks.encodeState = [] {
            return std::vector<std::byte>{};
        };
        callbacks.appended = [](const proposal_appended &) {
        };
        callbacks.refused = [](const proposal_refused &) {
        };
        callbacks.roleChanged = [](const role_changed &) {
        };
        callbacks.applied = [] {
        };
        callbacks.flushed = [this, &owner] {
            reportedEarly = reportedEarly || (applied > 0 && applied < records);
            if (applied == records) {
                owner.requestStop();
            }
        };
        callbacks.failed = [] {
        };
        return callbacks;
    }

    /// Runs the voter until its state machine has applied all commands. It proposes them once it leads, if asked to.
    void runVoter(bool proposes, std::chrono::milliseconds timeForEach)
    {
        loop owner;
        replica_host *running = nullptr;
        replica_host_callbacks callbacks = countingCallbacks(owner, timeForEach);
        callbacks.roleChanged = [&running, proposes](const role_changed &role) {
            for (std::uint64_t ticket = 1; proposes && role.role == replica_role::Leader && ticket <= records;
                 ++ticket) {
                running->post(command_proposed{ticket, std::vector<std::byte>{std::byte{1}}});
            }
        };
        replica_host host(owner, folder, {1}, {.targetVoters = 1}, std::move(callbacks));
        running = &host;
        timer other(owner, [this, &other] {
            turns += applied > 0 && applied < records ? 1 : 0;
            other.arm(std::chrono::milliseconds(1));
        });
        other.arm(std::chrono::milliseconds(1));
        owner.run();
    }

    /// Runs a VM without a disk of before, to which the leader sends all commands at once, until it has applied them.
    void runLearner(std::chrono::milliseconds timeForEach)
    {
        loop owner;
        replica_host host(owner, folder / "learner", {2}, {}, countingCallbacks(owner, timeForEach));
        append_request request{.previousIndex = {}, .previousTerm = {}, .commitIndex = {records}, .records = {}};
        for (std::uint64_t index = 1; index <= records; ++index) {
            request.records.push_back({{index}, {1}, command{{std::byte{1}}}});
        }
        host.post(message_received{{{7}, {1}, {2}, {1}, 1, std::move(request)}});
        owner.run();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(replica_host_test, replica_host_fixture)

// Guards against a fleet without a leader after a restart of all control VMs: each applied its whole log in one piece,
// so that it sent and answered nothing for many election timeouts.
BOOST_AUTO_TEST_CASE(restart_longLog_otherEventsHandledBetweenRecords)
{
    runVoter(true, std::chrono::milliseconds(0));
    turns = 0;
    reportedEarly = false;
    runVoter(false, applyTime);
    BOOST_TEST(applied == records);
    BOOST_TEST(turns >= records / 2);
    BOOST_TEST(!reportedEarly);
}

// Guards against a configuration that is lost for good when control VMs lose their disks one after the other: one that
// came back counted as caught up only when it had applied the whole log, and blocked a vote until then.
BOOST_AUTO_TEST_CASE(learner_manyRecords_answersTheLeaderBeforeItHasAppliedThem)
{
    runLearner(applyTime);
    BOOST_TEST(applied == records);
    BOOST_REQUIRE(appliedAtAnswer);
    BOOST_TEST(*appliedAtAnswer < records / 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
