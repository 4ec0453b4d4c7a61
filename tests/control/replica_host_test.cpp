#include "daemon/control/replica_host.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <filesystem>
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

    /// Runs a replica on the folder until its state machine has applied all commands. It proposes them as soon as it
    /// leads, if asked to.
    void run(bool proposes, std::chrono::milliseconds timeForEach)
    {
        applied = 0;
        loop owner;
        replica_host *running = nullptr;
        replica_host_callbacks callbacks;
        callbacks.send = [](const replication_message &) {
        };
        callbacks.apply = [&](const log_record &record) {
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
        callbacks.roleChanged = [&](const role_changed &role) {
            for (std::uint64_t ticket = 1; proposes && role.role == replica_role::Leader && ticket <= records;
                 ++ticket) {
                running->post(command_proposed{ticket, std::vector<std::byte>{std::byte{1}}});
            }
        };
        callbacks.flushed = [&] {
            reportedEarly = reportedEarly || (applied > 0 && applied < records);
            if (applied == records) {
                owner.requestStop();
            }
        };
        callbacks.failed = [] {
        };
        replica_host host(owner, folder, {1}, {.targetVoters = 1}, std::move(callbacks));
        running = &host;
        timer other(owner, [&] {
            turns += applied > 0 && applied < records ? 1 : 0;
            other.arm(std::chrono::milliseconds(1));
        });
        other.arm(std::chrono::milliseconds(1));
        owner.run();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(replica_host_test, replica_host_fixture)

// Guards against a fleet without a leader after a restart of all control VMs: each applied its whole log in one piece,
// so that it sent and answered nothing for many election timeouts.
BOOST_AUTO_TEST_CASE(restart_longLog_otherEventsHandledBetweenRecords)
{
    run(true, std::chrono::milliseconds(0));
    turns = 0;
    reportedEarly = false;
    run(false, applyTime);
    BOOST_TEST(applied == records);
    BOOST_TEST(turns >= records / 2);
    BOOST_TEST(!reportedEarly);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
