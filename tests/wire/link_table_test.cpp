#include "daemon/peers/link_table.h"
#include "raw_peer.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

namespace guavafront
{

namespace
{

/// Two VMs on one loop that record the callbacks of their links.
struct link_table_fixture {
    struct vm {
        std::vector<peer_identity> ready;
        std::vector<envelope> received;
        std::vector<vm_id> lost;
        std::unique_ptr<link_table> links;

        std::uint64_t ended(link_end reason) const
        {
            return links->counters().ended[static_cast<std::size_t>(reason)];
        }
    };

    loop owner;
    fleet_secret secret = deriveFleetSecret("the secret of the test's fleet");
    link_limits limits;
    duration backoffFirst = link_table_options{}.backoffFirst;
    vm first;
    vm second;
    timer poll{owner, [this] {
                   checkDone();
               }};
    timer limit{owner, [] {
                    throw std::runtime_error("the awaited event did not come");
                }};
    std::function<bool()> done;

    void start(vm &target, std::uint64_t id)
    {
        start(target, id, secret);
    }

    void start(vm &target, std::uint64_t id, const fleet_secret &known)
    {
        link_table_events events{
            .ready = [&target](const peer_identity &peer) { target.ready.push_back(peer); },
            .received = [&target](const peer_identity &, envelope m) { target.received.push_back(std::move(m)); },
            .lost =
                [&target](vm_id peer) {
                    target.lost.push_back(peer);
                }};
        link_table_options options;
        options.link = {.self = {.id = {id}, .dataCentre = "a"}, .secret = known, .limits = limits};
        options.backoffFirst = backoffFirst;
        target.links = std::make_unique<link_table>(owner, options, std::move(events));
    }

    void startBoth()
    {
        start(first, 1);
        start(second, 2);
    }

    void checkDone()
    {
        if (done()) {
            owner.stop();
        } else {
            poll.arm(std::chrono::milliseconds(1));
        }
    }

    void runUntil(std::function<bool()> condition)
    {
        done = std::move(condition);
        limit.arm(std::chrono::seconds(20));
        poll.arm({});
        owner.run();
        limit.cancel();
    }

    static envelope numbered(unsigned number, std::size_t bytes = 1)
    {
        return {.kind = channel::Spread, .body = byte_buffer(bytes, static_cast<std::byte>(number))};
    }

    /// Starts a raw peer and waits until its link to the first VM is ready.
    std::unique_ptr<raw_peer> provedRawPeer()
    {
        auto peer = std::make_unique<raw_peer>(owner, first.links->self().address, secret);
        runUntil([this] { return first.ready.size() == 1; });
        return peer;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(link_table_test, link_table_fixture)

BOOST_AUTO_TEST_CASE(send_noLinkYet_opensOneAndDeliversInOrder)
{
    startBoth();
    first.links->send({2}, second.links->self().address, numbered(1));
    first.links->send({2}, second.links->self().address, numbered(2));
    runUntil([this] { return second.received.size() == 2; });
    BOOST_TEST((second.received == std::vector{numbered(1), numbered(2)}));
    BOOST_TEST((second.ready.at(0) == first.links->self()));
    second.links->send({1}, {}, numbered(3));
    runUntil([this] { return first.received.size() == 1; });
    BOOST_TEST(first.links->counters().opened == 1U);
}

BOOST_AUTO_TEST_CASE(send_bothOpenAtOnce_nothingLostAndOneLinkPreferred)
{
    startBoth();
    first.links->send({2}, second.links->self().address, numbered(1));
    second.links->send({1}, first.links->self().address, numbered(2));
    runUntil([this] { return first.ready.size() == 2 && second.ready.size() == 2; });
    runUntil([this] { return first.received.size() == 1 && second.received.size() == 1; });
    first.links->send({2}, {}, numbered(3));
    second.links->send({1}, {}, numbered(4));
    runUntil([this] { return first.received.size() == 2 && second.received.size() == 2; });
    BOOST_TEST(first.lost.empty());
    BOOST_TEST((first.links->connectedPeers() == std::vector{vm_id{2}}));
}

BOOST_AUTO_TEST_CASE(link_otherSecret_endsUnauthenticatedWithNothingDelivered)
{
    start(first, 1);
    start(second, 2, deriveFleetSecret("the secret of another fleet"));
    first.links->send({2}, second.links->self().address, numbered(1));
    runUntil([this] { return first.ended(link_end::Unauthenticated) == 1; });
    BOOST_TEST(first.links->counters().messagesDropped == 1U);
    BOOST_TEST(second.received.empty());
    BOOST_TEST(second.ready.empty());
}

BOOST_AUTO_TEST_CASE(link_toItself_endsUnauthenticated)
{
    start(first, 1);
    start(second, 1);
    first.links->send({}, second.links->self().address, numbered(1));
    runUntil([this] { return second.ended(link_end::Unauthenticated) == 1; });
    BOOST_TEST(second.ready.empty());
}

BOOST_AUTO_TEST_CASE(send_anotherVmAnswersThere_messageDropped)
{
    startBoth();
    first.links->send({3}, second.links->self().address, numbered(1));
    runUntil([this] { return first.ready.size() == 1; });
    BOOST_TEST(first.links->counters().messagesDropped == 1U);
    BOOST_TEST(first.links->counters().messagesSent == 0U);
}

BOOST_AUTO_TEST_CASE(send_againToReplacedVm_noSecondConnection)
{
    backoffFirst = link_table_options{}.backoffLongest;
    startBoth();
    const std::string address = second.links->self().address;
    first.links->send({9}, address, numbered(1));
    runUntil([this] { return first.links->counters().messagesDropped == 1; });
    first.links->send({9}, address, numbered(2));
    BOOST_TEST(first.links->counters().messagesDropped == 2U);
    BOOST_TEST(first.links->counters().opened == 1U);
    first.links->send({2}, address, numbered(3)); // The VM that really has the address gets its messages.
    runUntil([this] { return !second.received.empty(); });
    BOOST_TEST((second.received == std::vector{numbered(3)}));
}

BOOST_AUTO_TEST_CASE(link_messageBeforeProof_endsUnauthenticated)
{
    start(first, 1);
    raw_peer peer(owner, first.links->self().address, secret);
    peer.onOpened = [&peer] {
        peer.sendRaw(encodeEnvelope(numbered(1)));
    };
    runUntil([this] { return first.ended(link_end::Unauthenticated) == 1; });
    BOOST_TEST(first.received.empty());
}

BOOST_AUTO_TEST_CASE(link_noProofInTime_endsHandshakeTimeout)
{
    limits.handshakeLimit = std::chrono::milliseconds(50);
    start(first, 1);
    raw_peer peer(owner, first.links->self().address, secret);
    peer.provesSecret = false;
    runUntil([this] { return first.ended(link_end::HandshakeTimeout) == 1; });
    BOOST_TEST(first.ready.empty());
}

BOOST_AUTO_TEST_CASE(link_malformedMessage_endsMalformed)
{
    start(first, 1);
    const auto peer = provedRawPeer();
    peer->sendRaw(byte_buffer(3, std::byte{0xff}));
    runUntil([this] { return first.ended(link_end::Malformed) == 1; });
    BOOST_TEST((first.lost == std::vector{vm_id{99}}));
}

BOOST_AUTO_TEST_CASE(link_unknownChannel_endsUnknownChannel)
{
    start(first, 1);
    const auto peer = provedRawPeer();
    byte_buffer bytes = encodeEnvelope(numbered(1));
    bytes[1] = std::byte{23};
    peer->sendRaw(bytes);
    runUntil([this] { return first.ended(link_end::UnknownChannel) == 1; });
    BOOST_TEST(first.received.empty());
}

BOOST_AUTO_TEST_CASE(link_messageOverSizeLimit_endsTooLarge)
{
    limits.messageBytes = 1'000;
    start(first, 1);
    const auto peer = provedRawPeer();
    peer->sendRaw(byte_buffer(2'000, std::byte{0}));
    runUntil([this] { return first.ended(link_end::TooLarge) == 1; });
    BOOST_TEST(first.received.empty());
}

BOOST_AUTO_TEST_CASE(send_messageOverSizeLimit_droppedAndLinkKept)
{
    limits.messageBytes = 1'000;
    startBoth();
    first.links->send({2}, second.links->self().address, numbered(1, 1'001));
    first.links->send({2}, second.links->self().address, numbered(2, 1'000));
    runUntil([this] { return second.received.size() == 1; });
    BOOST_TEST(first.links->counters().messagesDropped == 1U);
}

BOOST_AUTO_TEST_CASE(link_peerSilent_endsSilentAndNewOneWorks)
{
    limits.keepalivePeriod = std::chrono::milliseconds(20);
    limits.silenceLimit = std::chrono::milliseconds(100);
    startBoth();
    const auto peer = provedRawPeer();
    peer->stopResponding();
    runUntil([this] { return first.ended(link_end::Silent) == 1; });
    second.links->send({1}, first.links->self().address, numbered(1));
    runUntil([this] { return first.received.size() == 1; });
}

BOOST_AUTO_TEST_CASE(link_idleButAnsweringPings_staysUp)
{
    limits.keepalivePeriod = std::chrono::milliseconds(5);
    limits.silenceLimit = std::chrono::seconds(5);
    startBoth();
    first.links->send({2}, second.links->self().address, numbered(1));
    runUntil([this] { return second.received.size() == 1; });
    unsigned rounds = 0;
    runUntil([&rounds] { return ++rounds == 100; });
    BOOST_TEST(first.lost.empty());
}

BOOST_AUTO_TEST_CASE(link_peerReadsNothing_endsTooSlow)
{
    limits.outgoingBytes = 100'000;
    start(first, 1);
    const auto peer = provedRawPeer();
    peer->stopResponding();
    byte_buffer incompressible(50'000);
    std::ranges::generate(incompressible,
                          [random = std::minstd_rand(1)]() mutable { return static_cast<std::byte>(random()); });
    runUntil([this, &incompressible] {
        first.links->send({99}, {}, {.kind = channel::Spread, .body = incompressible});
        return first.ended(link_end::TooSlow) == 1;
    });
}

BOOST_AUTO_TEST_CASE(send_nobodyListens_backsOffThenConnects)
{
    start(first, 1);
    start(second, 2);
    const std::string address = second.links->self().address;
    second.links.reset();
    first.links->send({2}, address, numbered(1));
    runUntil([this] { return first.ended(link_end::ConnectFailed) == 1; });
    first.links->send({2}, address, numbered(2));
    BOOST_TEST(first.links->counters().opened == 1U);
    BOOST_TEST(first.links->counters().messagesDropped == 2U);
}

BOOST_AUTO_TEST_CASE(link_peerEnds_lostAndReopenedOnDemand)
{
    startBoth();
    first.links->send({2}, second.links->self().address, numbered(1));
    runUntil([this] { return second.received.size() == 1; });
    second.links->disconnect({1});
    runUntil([this] { return first.lost.size() == 1; });
    first.links->send({2}, second.links->self().address, numbered(2));
    runUntil([this] { return second.received.size() == 2; });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
