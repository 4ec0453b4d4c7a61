#include <guavafront/coordination/links/link_delivery.h>

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

using std::chrono::milliseconds;

/// Sender's end of one link, on virtual time.
struct link_delivery_fixture {
    link_delivery state;
    instant now = instant(std::chrono::hours(1));

    void send(delivery_urgency urgency = delivery_urgency::AtOnce, std::size_t bytes = 100)
    {
        keepSent(state, std::vector<std::byte>(bytes), urgency, now);
    }

    /// Whether a question is due, which is then answered after the given time.
    bool askAndAnswer(duration after)
    {
        const auto number = takeQuestion(state, now);
        now += after;
        if (number) {
            handleAnswer(state, *number, now);
        }
        return number.has_value();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(link_delivery_test, link_delivery_fixture)

BOOST_AUTO_TEST_CASE(question_messageThatBinds_askedAtOnceAndKeptUntilAnswered)
{
    send();
    BOOST_TEST(takeQuestion(state, now).value_or(0) == 1U);
    BOOST_TEST(state.kept.size() == 1U);
    handleAnswer(state, 1, now + milliseconds(10));
    BOOST_TEST(state.kept.empty());
    BOOST_TEST((nextDeliveryCheck(state) == instant::max()));
}

BOOST_AUTO_TEST_CASE(question_messageThatIsntKept_askedAtOnceWithTimeForItsBytes)
{
    countSent(state, 10 * state.slowBytesPerSecond, now);
    BOOST_TEST(state.kept.empty());
    BOOST_TEST(takeQuestion(state, now).value_or(0) == 1U);
    now += std::chrono::seconds(10);
    BOOST_TEST(!isSilent(state, now));
    now += state.maxAnswerTime;
    BOOST_TEST(isSilent(state, now));
}

// Guards against a silent link that isn't noticed, since the last message was sent while a question was open.
BOOST_AUTO_TEST_CASE(question_messageSentWhileOneIsOpen_askedAboutLater)
{
    countSent(state, 100, now);
    const std::optional<std::uint64_t> first = takeQuestion(state, now);
    countSent(state, 100, now);
    handleAnswer(state, first.value_or(0), now + milliseconds(10));
    now += std::chrono::seconds(2);
    BOOST_TEST(takeQuestion(state, now).value_or(0) == 2U);
}

BOOST_AUTO_TEST_CASE(question_relaxedMessage_askedWithinASecond)
{
    send(delivery_urgency::Relaxed);
    BOOST_TEST(!takeQuestion(state, now).has_value());
    now += std::chrono::seconds(1);
    BOOST_TEST(takeQuestion(state, now).has_value());
}

BOOST_AUTO_TEST_CASE(question_manyMessages_oneForEachInterval)
{
    int questions = 0;
    for (int i = 0; i < 100; ++i) {
        send();
        questions += askAndAnswer(milliseconds(10)) ? 1 : 0;
    }
    BOOST_TEST(questions <= 5);
    now += state.questionInterval;
    BOOST_TEST(askAndAnswer(milliseconds(10)));
    BOOST_TEST(state.kept.empty());
}

BOOST_AUTO_TEST_CASE(silence_noAnswer_knownWithinTheBound)
{
    send();
    askAndAnswer(milliseconds(10));
    send(); // The interval since the last question delays the next one.
    duration waited{};
    while (!isSilent(state, now) && waited < std::chrono::seconds(2)) {
        takeQuestion(state, now);
        now += milliseconds(10);
        waited += milliseconds(10);
    }
    BOOST_TEST(waited.count() <= duration(milliseconds(700)).count());
}

BOOST_AUTO_TEST_CASE(silence_largeMessageOnASlowLink_waitsForTheTransfer)
{
    send(delivery_urgency::AtOnce, 262'144);
    takeQuestion(state, now);
    BOOST_TEST(!isSilent(state, now + milliseconds(2000)));
    BOOST_TEST(isSilent(state, now + milliseconds(2500)));
}

BOOST_AUTO_TEST_CASE(silence_answersUsuallySlow_waitsLonger)
{
    for (int i = 0; i < 20; ++i) {
        send();
        askAndAnswer(milliseconds(300));
    }
    send();
    takeQuestion(state, now);
    BOOST_TEST(!isSilent(state, now + milliseconds(1100)));
    BOOST_TEST(isSilent(state, now + state.maxAnswerTime + milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(answer_numberNeverSent_ignored)
{
    send();
    takeQuestion(state, now);
    handleAnswer(state, 2, now);
    BOOST_TEST(state.kept.size() == 1U);
    BOOST_TEST(state.askedAt.has_value());
}

BOOST_AUTO_TEST_CASE(kept_noAnswerForLong_memoryBounded)
{
    for (int i = 0; i < 100; ++i) {
        send(delivery_urgency::AtOnce, 100'000);
    }
    BOOST_TEST(state.keptBytes <= state.maxKeptBytes);
    BOOST_TEST(state.kept.back().number == 100U);
}

BOOST_AUTO_TEST_CASE(answer_handshakeTookLong_limitFollowsIt)
{
    expectAnswerTime(state, milliseconds(250));
    send();
    takeQuestion(state, now);
    BOOST_TEST(!isSilent(state, now + milliseconds(990)));
    BOOST_TEST(isSilent(state, now + milliseconds(1'010)));
}

BOOST_AUTO_TEST_CASE(answer_handshakeWasQuick_limitIsTheLeast)
{
    expectAnswerTime(state, milliseconds(4));
    send();
    takeQuestion(state, now);
    BOOST_TEST(!isSilent(state, now + milliseconds(390)));
    BOOST_TEST(isSilent(state, now + milliseconds(410)));
}

// Guards against a link that is replaced since this VM was late to read the answer.
BOOST_AUTO_TEST_CASE(answer_overdueWhenThisVmStoodStill_waitedForOnceMore)
{
    send();
    takeQuestion(state, now);
    now += std::chrono::seconds(2);
    extendAnswerTime(state, now);
    BOOST_TEST(!isSilent(state, now + milliseconds(390)));
    now += milliseconds(410);
    BOOST_TEST(isSilent(state, now));
    extendAnswerTime(state, now);
    BOOST_TEST(isSilent(state, now));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
