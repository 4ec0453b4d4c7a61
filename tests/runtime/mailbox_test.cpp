#include "runtime/mailbox.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <vector>

namespace guavafront
{

namespace
{

/// Two mailboxes of one task, of which the second goes before the first.
struct mailbox_fixture {
    static constexpr int last = 100; ///< Last message of the normal mailbox.
    static constexpr int urgentMessage = 1'000;
    loop owner{loop_options{.urgentFirst = true}};
    mailbox<int> normal{1'000};
    mailbox<int> urgent{1'000};
    std::vector<int> handled;

    std::size_t positionOf(int message) const
    {
        return static_cast<std::size_t>(std::ranges::find(handled, message) - handled.begin());
    }

    /// Handles messages until the last one.
    void handle(int message)
    {
        handled.push_back(message);
        if (message == 1) {
            urgent.post(urgentMessage);
        }
        if (handled.size() == last + 1) {
            owner.stop();
        }
    }

    void runAll(std::size_t batch)
    {
        const auto take = [this](int message) {
            handle(message);
        };
        const mailbox_attachment<int> first(normal, owner, take, {.batch = batch});
        const mailbox_attachment<int> second(urgent, owner, take, {.urgency = event_urgency::Urgent});
        for (int message = 1; message <= last; ++message) {
            normal.post(message);
        }
        owner.run();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(mailbox_test, mailbox_fixture)

// Guards against urgent messages that wait until all others are handled.
BOOST_AUTO_TEST_CASE(urgentMessage_manyOthersWait_handledAfterOneBatch)
{
    constexpr std::size_t batch = 8;
    runAll(batch);
    BOOST_TEST(positionOf(urgentMessage) == batch);
    handled.erase(handled.begin() + batch);
    BOOST_TEST(std::ranges::is_sorted(handled));
}

BOOST_AUTO_TEST_CASE(messages_postedWhileABatchIsHandled_allHandledInOrder)
{
    runAll(1);
    BOOST_TEST(handled.size() == last + 1);
    BOOST_TEST(positionOf(urgentMessage) == 1U);
}

BOOST_AUTO_TEST_CASE(messages_detachedAfterABatch_handledByTheNextOwner)
{
    for (int message = 1; message <= 3; ++message) {
        normal.post(message);
    }
    {
        const mailbox_attachment<int> first(normal, owner,
                                            [this](int message) {
                                                handled.push_back(message);
                                                owner.stop();
                                            },
                                            {.batch = 1});
        owner.run();
    }
    const mailbox_attachment<int> second(normal, owner, [this](int message) {
        handled.push_back(message);
        if (message == 3) {
            owner.stop();
        }
    });
    owner.run();
    BOOST_TEST(handled == (std::vector<int>{1, 2, 3}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
