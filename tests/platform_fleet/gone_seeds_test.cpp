#include "fleet/child_process.h"
#include "fleet/platform_processes.h"
#include "runtime/loop.h"

#include <boost/test/unit_test.hpp>
#include <poll.h>

#include <algorithm>
#include <csignal>

namespace guavafront
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Five control and two entry VMs. The three control VMs that all know as seeds have been replaced at other addresses.
struct gone_seeds_fixture {
    static constexpr duration catchUp = seconds(4); ///< The platform's time until a new machine counts.
    static constexpr duration recovery = seconds(15); ///< The platform's bound for recovery after a loss of all.
    const std::vector<std::string> seeds{"control-1", "control-2", "control-3"}; ///< Control VMs that are gone.
    const std::vector<std::string> entries{"entry-1", "entry-2"}; ///< Entry VMs.
    platform_processes fleet{5, 2};
    std::uint64_t version = 1; ///< Version that was acknowledged last.

    gone_seeds_fixture()
    {
        fleet.configure();
        pause(catchUp);
        for (const std::string &each : seeds) {
            const std::string fresh = fleet.replaceControl(each);
            fleet.startVmWithSeeds(fresh, fleet.controls());
            pause(catchUp + milliseconds(500));
        }
        for (int attempt = 0; attempt < 5 && fleet.putConfiguration(version + 1) != 200; ++attempt) {
            pause(milliseconds(300));
        }
        ++version;
        BOOST_TEST_REQUIRE(fleet.versionAt(fleet.controls().back()) == version);
    }

    static void pause(duration span)
    {
        poll(nullptr, 0, static_cast<int>(std::chrono::duration_cast<milliseconds>(span).count()));
    }

    /// Kills the VMs at the same moment and starts them a second later with the seeds that are gone.
    void killAndStart(const std::vector<std::string> &vms)
    {
        for (const std::string &each : vms) {
            fleet.process(each).signal(SIGKILL);
        }
        for (const std::string &each : vms) {
            fleet.process(each).waitForExit(seconds(2));
        }
        pause(seconds(1));
        for (const std::string &each : vms) {
            fleet.startVmWithSeeds(each, seeds);
        }
    }

    /// Whether the condition holds for every VM at some time before the end.
    template<class condition>
    static void checkRecovery(std::vector<std::string> waiting, instant end, const condition &holds)
    {
        while (!waiting.empty() && loop::now() < end) {
            std::erase_if(waiting, holds);
            pause(milliseconds(100));
        }
        BOOST_TEST(waiting.empty(), waiting.size() << " VMs are not back");
    }

    void checkAllAreBack()
    {
        const instant end = loop::now() + recovery;
        checkRecovery(fleet.controls(), end,
                      [this](const std::string &each) { return fleet.versionAt(each) == version; });
        checkRecovery(entries, end, [this](const std::string &each) { return fleet.isReady(each); });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(gone_seeds_test, gone_seeds_fixture)

BOOST_AUTO_TEST_CASE(controlVms_allKilledAndSeedsGone_acknowledgedVersionRead)
{
    killAndStart(fleet.controls());
    checkAllAreBack();
}

BOOST_AUTO_TEST_CASE(allVms_killedAndSeedsGone_acknowledgedVersionReadAndEntriesReady)
{
    std::vector<std::string> all = fleet.controls();
    all.insert(all.end(), entries.begin(), entries.end());
    killAndStart(all);
    checkAllAreBack();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
