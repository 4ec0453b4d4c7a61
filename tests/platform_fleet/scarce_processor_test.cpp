#include "fleet/child_process.h"
#include "fleet/platform_processes.h"
#include "platform_fleet/processor_quota.h"
#include "runtime/loop.h"

#include <boost/test/unit_test.hpp>
#include <poll.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <iterator>

namespace guavafront
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Eleven control and 89 entry VMs with an acknowledged configuration.
struct scarce_processor_fixture {
    static constexpr duration recovery = seconds(15); ///< The platform's bound for recovery after a loss of all.
    static constexpr std::size_t entryCount = 89;
    static constexpr double share = 0.02; ///< Of a core, for each control VM.
    platform_processes fleet{11, entryCount};

    scarce_processor_fixture()
    {
        fleet.configure();
        pause(seconds(4));
    }

    static void pause(duration span)
    {
        poll(nullptr, 0, static_cast<int>(std::chrono::duration_cast<milliseconds>(span).count()));
    }

    /// Kills all VMs at the same moment, empties the disks of two control VMs, and starts all of them again.
    void killAndStartAll()
    {
        std::vector<std::string> all = fleet.controls();
        for (std::size_t number = 1; number <= entryCount; ++number) {
            all.push_back("entry-" + std::to_string(number));
        }
        for (const std::string &each : all) {
            fleet.process(each).signal(SIGKILL);
        }
        for (const std::string &each : all) {
            fleet.process(each).waitForExit(seconds(2));
        }
        std::filesystem::remove_all(fleet.dataFolderOf(fleet.controls()[4]));
        std::filesystem::remove_all(fleet.dataFolderOf(fleet.controls()[8]));
        const std::vector<std::string> seeds(fleet.controls().begin(), fleet.controls().begin() + 3);
        for (const std::string &each : all) {
            fleet.startVmWithSeeds(each, seeds);
        }
    }

    /// Control VMs that don't give the acknowledged version before the end.
    std::size_t countUnreadable(instant end)
    {
        std::vector<std::string> waiting = fleet.controls();
        while (!waiting.empty() && loop::now() < end) {
            std::erase_if(waiting, [this](const std::string &each) { return fleet.versionAt(each) == 1; });
            pause(milliseconds(100));
        }
        return waiting.size();
    }

    std::vector<int> controlProcesses()
    {
        std::vector<int> processes;
        std::ranges::transform(fleet.controls(), std::back_inserter(processes),
                               [this](const std::string &each) { return fleet.process(each).id(); });
        return processes;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(scarce_processor_test, scarce_processor_fixture)

// Guards against a configuration that can't be read, since control VMs without processor time elect no leader.
BOOST_AUTO_TEST_CASE(controlVms_allVmsRestartedWithLittleProcessorTime_acknowledgedVersionRead)
{
    killAndStartAll();
    const processor_quota quota(controlProcesses(), share);
    const std::size_t unreadable = countUnreadable(loop::now() + recovery);
    BOOST_TEST(unreadable == 0U, unreadable << " of 11 control VMs don't give the configuration");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
