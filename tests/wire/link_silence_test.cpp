#include "daemon/peers/link_table.h"
#include "silent_relay.h"

#include <boost/test/unit_test.hpp>

#include <sys/socket.h>

namespace guavafront
{

namespace
{

using direction = silent_relay::direction;

/// Two VMs that reach each other through relays, whose connections can go silent.
struct link_silence_fixture {
    struct vm {
        std::vector<unsigned> received;
        std::unique_ptr<link_table> links;
        std::unique_ptr<silent_relay> relay;
    };

    /// Time within which a message that binds arrives, however many links go silent.
    static constexpr duration bound = std::chrono::seconds(1);

    loop owner;
    fleet_secret secret = deriveFleetSecret("the secret of the test's fleet");
    vm first;
    vm second;
    std::function<bool()> done;
    timer poll{owner, [this] {
                   checkDone();
               }};
    timer limit{owner, [this] {
                    BOOST_ERROR("the awaited event did not come in time");
                    owner.stop();
                }};

    link_silence_fixture()
    {
        start(first, 1);
        start(second, 2);
        send(first, 2, 1);
        send(second, 1, 101);
        runUntil(std::chrono::seconds(10),
                 [this] { return first.received.size() == 1 && second.received.size() == 1; });
        wait(std::chrono::milliseconds(1500)); // Every message has been confirmed.
        first.received.clear();
        second.received.clear();
    }

    void start(vm &target, std::uint64_t id)
    {
        const std::string listenAddress = "127.0.0.1:" + std::to_string(freePort());
        target.relay = std::make_unique<silent_relay>(owner, listenAddress);
        link_table_events events{.ready = [](const peer_identity &) {},
                                 .received =
                                     [&target](const peer_identity &, envelope message) {
                                         target.received.push_back(std::to_integer<unsigned>(message.body.at(0)));
                                     },
                                 .lost =
                                     [](vm_id) {
                                     }};
        link_table_options options;
        options.link = {.self = {.id = {id}, .address = target.relay->address(), .dataCentre = "a"}, .secret = secret};
        options.listenAddress = listenAddress;
        target.links = std::make_unique<link_table>(owner, options, std::move(events));
    }

    std::uint16_t freePort()
    {
        return listener(owner, "127.0.0.1:0", [](bufferevent *) {}).port();
    }

    void send(vm &from, std::uint64_t to, unsigned number, channel kind = channel::Registry)
    {
        const vm &receiver = to == 1 ? first : second;
        from.links->send({to}, receiver.relay->address(),
                         {.kind = kind, .body = byte_buffer(1, static_cast<std::byte>(number))});
    }

    void silenceAll(direction which, int nextConnections = 0)
    {
        first.relay->silence(which, nextConnections);
        second.relay->silence(which, nextConnections);
    }

    void checkDone()
    {
        if (done()) {
            owner.stop();
        } else {
            poll.arm(std::chrono::milliseconds(1));
        }
    }

    void runUntil(duration most, std::function<bool()> condition)
    {
        done = std::move(condition);
        limit.arm(most);
        poll.arm({});
        owner.run();
        limit.cancel();
        poll.cancel();
    }

    void wait(duration time)
    {
        const instant end = loop::now() + time;
        runUntil(time * 2, [end] { return loop::now() >= end; });
    }

    /// Sends numbers from both VMs and checks that each arrives in time, once and in order.
    void checkDelivery()
    {
        for (unsigned number = 1; number <= 3; ++number) {
            send(first, 2, number);
            send(second, 1, 100 + number);
        }
        runUntil(bound, [this] { return first.received.size() >= 3 && second.received.size() >= 3; });
        wait(std::chrono::seconds(2));
        BOOST_TEST(second.received == (std::vector<unsigned>{1, 2, 3}), boost::test_tools::per_element());
        BOOST_TEST(first.received == (std::vector<unsigned>{101, 102, 103}), boost::test_tools::per_element());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(link_silence_test, link_silence_fixture)

BOOST_AUTO_TEST_CASE(links_silentBothWays_messagesArriveInTimeAndOnce)
{
    silenceAll(direction::Both);
    checkDelivery();
}

// Guards against replicas whose messages wait behind all that a leader sent into a cut.
BOOST_AUTO_TEST_CASE(replication_linksSilent_notSentAgainWhileOthersAre)
{
    silenceAll(direction::Both);
    send(first, 2, 1, channel::Replication);
    send(first, 2, 2);
    send(first, 2, 3, channel::Replication);
    runUntil(bound, [this] { return !second.received.empty(); });
    send(first, 2, 4, channel::Replication);
    runUntil(bound, [this] { return second.received.size() >= 2; });
    wait(std::chrono::seconds(2));
    BOOST_TEST(second.received == (std::vector<unsigned>{2, 4}), boost::test_tools::per_element());
}

// Replication alone must show that a link is silent.
BOOST_AUTO_TEST_CASE(replication_linkSilent_anotherOpenedInTime)
{
    silenceAll(direction::Both);
    const instant end = loop::now() + bound;
    while (second.received.empty() && loop::now() < end) {
        send(first, 2, 1, channel::Replication);
        wait(std::chrono::milliseconds(150));
    }
    BOOST_TEST(!second.received.empty());
}

BOOST_AUTO_TEST_CASE(links_silentTowardsTheAcceptor_messagesArriveInTimeAndOnce)
{
    silenceAll(direction::ToTarget);
    checkDelivery();
}

BOOST_AUTO_TEST_CASE(links_silentTowardsTheOpener_messagesArriveInTimeAndOnce)
{
    silenceAll(direction::ToOpener);
    checkDelivery();
}

BOOST_AUTO_TEST_CASE(links_nextOneSilentToo_messagesArriveInTimeAndOnce)
{
    silenceAll(direction::Both, 1);
    checkDelivery();
}

BOOST_AUTO_TEST_CASE(links_silentTwiceWithinASecond_messagesArriveInTimeAndOnce)
{
    silenceAll(direction::Both);
    checkDelivery();
    first.received.clear();
    second.received.clear();
    silenceAll(direction::Both);
    checkDelivery();
}

BOOST_AUTO_TEST_CASE(links_resetWithMessagesOnTheWay_messagesArriveInTimeAndOnce)
{
    silenceAll(direction::Both);
    for (unsigned number = 1; number <= 3; ++number) {
        send(first, 2, number);
        send(second, 1, 100 + number);
    }
    wait(std::chrono::milliseconds(50));
    first.relay->reset();
    second.relay->reset();
    runUntil(bound, [this] { return first.received.size() >= 3 && second.received.size() >= 3; });
    wait(std::chrono::seconds(2));
    BOOST_TEST(second.received == (std::vector<unsigned>{1, 2, 3}), boost::test_tools::per_element());
    BOOST_TEST(first.received == (std::vector<unsigned>{101, 102, 103}), boost::test_tools::per_element());
}

// Guards against links to a VM that is late to answer, which are replaced again and again and make it later.
BOOST_AUTO_TEST_CASE(link_peerLateToAnswer_replacedOnceAtMost)
{
    first.relay->delay(std::chrono::milliseconds(300));
    second.relay->delay(std::chrono::milliseconds(300));
    first.relay->reset();
    second.relay->reset();
    wait(std::chrono::milliseconds(100));
    const std::uint64_t before = first.links->counters().ready;
    const instant end = loop::now() + std::chrono::seconds(8);
    unsigned sent = 0;
    while (loop::now() < end) {
        send(first, 2, ++sent);
        wait(std::chrono::milliseconds(100));
    }
    wait(std::chrono::seconds(2));
    BOOST_TEST(first.links->counters().ready - before <= 2U);
    BOOST_TEST(second.received.size() == sent);
}

BOOST_AUTO_TEST_CASE(links_silentWhileNothingIsSent_replacedBeforeTheNextMessage)
{
    silenceAll(direction::Both);
    wait(std::chrono::seconds(5));
    send(first, 2, 1);
    runUntil(std::chrono::milliseconds(200), [this] { return second.received.size() == 1; });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
