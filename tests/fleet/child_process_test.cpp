#include "fleet/child_process.h"

#include "fleet/test_resources.h"

#include <boost/test/unit_test.hpp>
#include <poll.h>

#include <cerrno>
#include <chrono>
#include <signal.h>

namespace guavafront
{

namespace
{

/// Folder for a process of the system and its log.
struct child_process_fixture {
    static constexpr duration limit = std::chrono::seconds(4); ///< Longest wait for the end of the process.

    const std::filesystem::path folder = makeTemporaryFolder();

    child_process_fixture() = default;
    ~child_process_fixture()
    {
        std::error_code ignored;
        std::filesystem::remove_all(folder, ignored);
    }
    child_process_fixture(const child_process_fixture &) = delete;
    child_process_fixture &operator=(const child_process_fixture &) = delete;

    child_process startSleep(const std::string &seconds) const
    {
        return {"/usr/bin/env", {"sleep", seconds}, folder.string(), (folder / "sleep.log").string()};
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(child_process_test, child_process_fixture)

BOOST_AUTO_TEST_CASE(waitForExit_processEndedBefore_returnsBeforeTheLimit)
{
    child_process ended = startSleep("0");
    poll(nullptr, 0, 500);
    const auto start = std::chrono::steady_clock::now();
    BOOST_TEST(ended.waitForExit(limit));
    BOOST_TEST((std::chrono::steady_clock::now() - start < limit));
    BOOST_TEST(ended.exitStatus() == 0);
}

BOOST_AUTO_TEST_CASE(waitForExit_processEndsMeanwhile_returnsBeforeTheLimit)
{
    child_process ending = startSleep("0.3");
    const auto start = std::chrono::steady_clock::now();
    BOOST_TEST(ending.waitForExit(limit));
    BOOST_TEST((std::chrono::steady_clock::now() - start < limit));
}

BOOST_AUTO_TEST_CASE(waitForExit_processRunsOn_falseAtTheLimit)
{
    child_process running = startSleep("60");
    BOOST_TEST(!running.waitForExit(std::chrono::milliseconds(200)));
    BOOST_TEST(running.running());
}

BOOST_AUTO_TEST_CASE(kill_processRuns_goneOnReturn)
{
    child_process running = startSleep("60");
    running.kill();
    const bool gone = ::kill(running.id(), 0) == -1 && errno == ESRCH; // Signal 0 only asks whether the process exists.
    BOOST_TEST(gone);
    BOOST_TEST(!running.running());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
