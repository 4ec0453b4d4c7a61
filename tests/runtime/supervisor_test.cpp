#include "runtime/supervisor.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <string>
#include <vector>

namespace guavafront
{

namespace
{

/// Records the starts and ends of children in the order in which they happen.
struct supervisor_fixture {
    std::mutex eventsMutex;
    std::vector<std::string> events;
    loop owner;

    void record(const std::string &text)
    {
        const std::lock_guard lock(eventsMutex);
        events.push_back(text);
    }

    /// Returns a child that runs until it is stopped.
    child_spec steadyChild(const std::string &name)
    {
        return {.name = name, .body = [this, name](loop &childLoop) {
                    record("start " + name);
                    childLoop.run();
                    record("end " + name);
                }};
    }

    /// Returns a child that throws in its first runs, as many as failures, and after that asks the root supervisor to
    /// stop.
    child_spec failingChild(const std::string &name, int failures)
    {
        auto starts = std::make_shared<std::atomic<int>>(0);
        return {.name = name, .body = [this, name, starts, failures](loop &childLoop) {
                    record("start " + name);
                    if ((*starts)++ < failures) {
                        throw std::runtime_error("injected");
                    }
                    owner.requestStop();
                    childLoop.run();
                }};
    }

    std::ptrdiff_t countOf(const std::string &text) const
    {
        return std::ranges::count(events, text);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(supervisor_test, supervisor_fixture)

BOOST_AUTO_TEST_CASE(supervisor_childFailsOnce_onlyThatOneRestarts)
{
    supervisor root({.name = "root"}, {steadyChild("steady"), failingChild("weak", 1)});
    root.run(owner);
    BOOST_TEST(countOf("start steady") == 1);
    BOOST_TEST(countOf("start weak") == 2);
}

BOOST_AUTO_TEST_CASE(supervisor_restForOneFailure_laterChildrenRestart)
{
    supervisor root({.name = "root", .strategy = restart_strategy::RestForOne},
                    {steadyChild("before"), failingChild("weak", 1), steadyChild("after")});
    root.run(owner);
    BOOST_TEST(countOf("start before") == 1);
    BOOST_TEST(countOf("start weak") == 2);
    BOOST_TEST(countOf("start after") == 2);
}

BOOST_AUTO_TEST_CASE(supervisor_tooManyFailures_givesUp)
{
    supervisor root({.name = "root", .restartLimit = 3}, {failingChild("weak", 100)});
    BOOST_CHECK_THROW(root.run(owner), supervisor_gave_up);
    BOOST_TEST(countOf("start weak") == 4);
}

BOOST_AUTO_TEST_CASE(supervisor_nestedGivesUp_parentRestartsIt)
{
    supervisor root({.name = "root"},
                    {supervisorChild({.name = "inner", .restartLimit = 0}, {failingChild("weak", 1)})});
    root.run(owner);
    BOOST_TEST(countOf("start weak") == 2);
}

BOOST_AUTO_TEST_CASE(supervisor_stopRequested_reverseOrder)
{
    supervisor root({.name = "root"}, {steadyChild("a"), steadyChild("b"), failingChild("stopper", 0)});
    root.run(owner);
    const auto endOfB = std::ranges::find(events, "end b");
    const auto endOfA = std::ranges::find(events, "end a");
    BOOST_TEST((endOfB < endOfA));
}

BOOST_AUTO_TEST_SUITE_END()

/// A loop and a mailbox with a capacity of two messages.
struct mailbox_fixture {
    loop owner;
    mailbox<int> box{2};
    std::vector<int> received;
};

BOOST_FIXTURE_TEST_SUITE(mailbox_test, mailbox_fixture)

BOOST_AUTO_TEST_CASE(mailbox_full_rejectsAndCounts)
{
    BOOST_TEST(box.post(1));
    BOOST_TEST(box.post(2));
    BOOST_TEST(!box.post(3));
    BOOST_TEST(box.rejected() == 1U);
}

BOOST_AUTO_TEST_CASE(mailbox_postedWhileDetached_deliveredOnAttach)
{
    box.post(1);
    box.post(2);
    box.attach(owner, [this](int value) {
        received.push_back(value);
        if (received.size() == 2) {
            owner.stop();
        }
    });
    owner.run();
    BOOST_TEST(received == (std::vector{1, 2}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(mailbox_handlerThrows_loopRethrows)
{
    box.post(1);
    box.attach(owner, [](int) { throw std::runtime_error("injected"); });
    BOOST_CHECK_THROW(owner.run(), std::runtime_error);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
