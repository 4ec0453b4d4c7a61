#include "fleet/child_process.h"
#include "fleet/platform_processes.h"
#include "platform_fleet/processor_quota.h"
#include "runtime/loop.h"

#include <boost/test/unit_test.hpp>
#include <poll.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

namespace guavafront
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Eleven control VMs, each held to a small share of a core, and 89 entry VMs with an acknowledged configuration.
struct entry_restart_fixture {
    static constexpr duration ackLimit = seconds(4); ///< Time in which an operator's change must be acknowledged.
    static constexpr duration startTime = seconds(6); ///< Time that the start of all entry VMs takes, with some spare.
    static constexpr std::size_t entryCount = 89;
    static constexpr double share = 0.03; ///< Of a core, for each control VM.
    platform_processes fleet{11, entryCount};
    std::vector<std::string> entries; ///< Names of the entry VMs.

    entry_restart_fixture()
    {
        for (std::size_t number = 1; number <= entryCount; ++number) {
            entries.push_back("entry-" + std::to_string(number));
        }
        fleet.configure();
        pause(seconds(4));
    }

    static void pause(duration span)
    {
        poll(nullptr, 0, static_cast<int>(std::chrono::duration_cast<milliseconds>(span).count()));
    }

    std::vector<int> controlProcesses()
    {
        std::vector<int> processes;
        std::ranges::transform(fleet.controls(), std::back_inserter(processes),
                               [this](const std::string &each) { return fleet.process(each).id(); });
        return processes;
    }

    void restartEntries()
    {
        for (const std::string &each : entries) {
            fleet.process(each).signal(SIGKILL);
        }
        for (const std::string &each : entries) {
            fleet.process(each).waitForExit(seconds(2));
        }
        pause(seconds(1));
        const std::vector<std::string> seeds(fleet.controls().begin(), fleet.controls().begin() + 3);
        for (const std::string &each : entries) {
            fleet.startVmWithSeeds(each, seeds);
        }
    }

    /// Number of times that a control VM gave up its leadership, by the logs.
    std::size_t lostLeaderships() const
    {
        std::size_t count = 0;
        for (const std::string &each : fleet.controls()) {
            std::ifstream log(fleet.folder() / (each + ".log"));
            for (std::string line; std::getline(log, line);) {
                count += line.find("control: gave up leading") != std::string::npos ? 1 : 0;
            }
        }
        return count;
    }

    /// Time until a change is acknowledged; ackLimit if it isn't by then.
    duration timeToAcknowledge(std::uint64_t version) const
    {
        const instant begin = loop::now();
        while (loop::now() - begin < ackLimit) {
            if (fleet.putConfiguration(version) == 200) {
                return loop::now() - begin;
            }
            pause(milliseconds(100));
        }
        return ackLimit;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(entry_restart_test, entry_restart_fixture)

// Guards against replication that waits behind the links and the state of entry VMs that all start at the same time.
BOOST_AUTO_TEST_CASE(controlVms_allEntryVmsRestarted_leaderLasts)
{
    const processor_quota quota(controlProcesses(), share);
    const std::size_t before = lostLeaderships();
    restartEntries();
    BOOST_CHECK(timeToAcknowledge(2) < ackLimit);
    pause(startTime);
    BOOST_TEST(lostLeaderships() == before);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
