#include <guavafront/coordination/core/random.h>
#include <guavafront/coordination/links/link_resumption.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <random>

namespace guavafront
{

namespace
{

/// Two VMs with one link after the other. Messages and statements take a tick each; a link ends at any moment, and what
/// is on it is lost.
struct link_resumption_fixture {
    struct message {
        std::optional<link_resumption> statement;
        std::byte value{};
    };

    struct vm {
        detached_links ended;
        link_delivery delivery;
        std::vector<message> onTheWay; ///< Sent on the link in use, not yet arrived.
        std::vector<unsigned> received;
    };

    std::array<vm, 2> vms;
    std::uint8_t linkNumber = 0;
    instant now = instant(std::chrono::hours(1));

    static constexpr std::array<vm_id, 2> ids{vm_id{1}, vm_id{2}};

    static std::size_t other(std::size_t index)
    {
        return 1 - index;
    }

    link_identity identity() const
    {
        link_identity id{};
        id[0] = std::byte{linkNumber};
        return id;
    }

    void transmit(std::size_t from, std::byte value)
    {
        keepSent(vms[from].delivery, {value}, delivery_urgency::AtOnce, now);
        vms[from].onTheWay.push_back({.statement = {}, .value = value});
    }

    void send(std::size_t from, unsigned number)
    {
        const auto value = static_cast<std::byte>(number);
        if (detached_link *earlier = awaitedResumption(vms[from].ended, ids[other(from)])) {
            keepSent(earlier->delivery, {value}, delivery_urgency::AtOnce, now);
        } else {
            transmit(from, value);
        }
    }

    void arrive(std::size_t to)
    {
        const std::size_t from = other(to);
        if (vms[from].onTheWay.empty()) {
            return;
        }
        const message next = vms[from].onTheWay.front();
        vms[from].onTheWay.erase(vms[from].onTheWay.begin());
        if (!next.statement) {
            ++vms[to].delivery.lastReceived;
            vms[to].received.push_back(std::to_integer<unsigned>(next.value));
            return;
        }
        const resumption_result result = handleResumption(vms[to].ended, ids[from], *next.statement);
        if (result.answer) {
            vms[to].onTheWay.push_back({.statement = result.answer, .value = {}});
        }
        BOOST_TEST(result.lost == 0U);
        for (const kept_message &each : result.resend) {
            transmit(to, each.bytes.at(0));
        }
    }

    void replaceLink()
    {
        for (std::size_t index = 0; index < vms.size(); ++index) {
            vm &each = vms[index];
            each.onTheWay.clear();
            detach(each.ended,
                   {.link = identity(), .peer = ids[other(index)], .delivery = std::exchange(each.delivery, {})}, now);
        }
        ++linkNumber;
        for (std::size_t index = 0; index < vms.size(); ++index) {
            for (const link_resumption &offer : offersTo(vms[index].ended, ids[other(index)])) {
                vms[index].onTheWay.push_back({.statement = offer, .value = {}});
            }
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(link_resumption_test, link_resumption_fixture)

BOOST_AUTO_TEST_CASE(links_endAtAnyMoment_eachMessageArrivesOnceAndInOrder)
{
    for (unsigned seed = 1; seed <= 500; ++seed) {
        vms = {};
        std::mt19937 random(seed);
        std::array<unsigned, 2> sent{};
        for (int step = 0; step < 300; ++step) {
            const auto choice = random() % 20;
            const std::size_t index = random() % 2;
            if (choice == 0) {
                replaceLink();
            } else if (choice < 6 && sent[index] < 100) {
                send(index, ++sent[index]);
            } else {
                arrive(index);
            }
        }
        for (int step = 0; step < 1000; ++step) {
            arrive(static_cast<std::size_t>(step % 2));
        }
        for (std::size_t index = 0; index < 2; ++index) {
            std::vector<unsigned> expected(sent[other(index)]);
            std::generate(expected.begin(), expected.end(), [number = 0U]() mutable { return ++number; });
            BOOST_TEST_CONTEXT("seed " << seed)
            {
                BOOST_TEST(vms[index].received == expected, boost::test_tools::per_element());
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(statement_linkNotRemembered_earlierMessagesLostAndLaterOnesSent)
{
    send(0, 1);
    replaceLink();
    send(0, 2);
    const resumption_result result = handleResumption(
        vms[0].ended, ids[1], {.link = vms[0].ended.links.at(0).link, .known = false, .isAnswer = true});
    BOOST_TEST(result.lost == 1U);
    BOOST_REQUIRE(result.resend.size() == 1U);
    BOOST_TEST(std::to_integer<unsigned>(result.resend[0].bytes.at(0)) == 2U);
}

BOOST_AUTO_TEST_CASE(statement_ofAnotherVm_changesNothing)
{
    send(0, 1);
    replaceLink();
    const resumption_result result =
        handleResumption(vms[0].ended, {9}, {.link = vms[0].ended.links.at(0).link, .received = 1});
    BOOST_TEST(result.resend.empty());
    BOOST_TEST(!result.answer->known);
    BOOST_TEST(hasUndelivered(vms[0].ended, ids[1]));
}

BOOST_AUTO_TEST_CASE(endedLinks_retentionOver_forgotten)
{
    replaceLink();
    BOOST_TEST(takeExpired(vms[0].ended, now).empty());
    BOOST_TEST(takeExpired(vms[0].ended, now + vms[0].ended.retention).size() == 1U);
    BOOST_TEST(vms[0].ended.links.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
