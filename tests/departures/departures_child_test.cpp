#include "daemon/control_tree.h"
#include "daemon/daemon_wiring.h"
#include "wire/departure_codec.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

/// The departures task of a control VM as the supervision tree runs it, with mailboxes that the test reads.
struct departures_child_fixture {
    daemon_settings settings;
    daemon_secrets secrets;
    daemon_wiring wiring;
    loop owner;
    std::size_t urgent = 0; ///< Messages about departures that go before other requests to the peers task.
    std::size_t ordinary = 0; ///< Those that wait behind other requests.
    mailbox_attachment<peers_message> urgentInbox{wiring.urgentPeers, owner, [this](const peers_message &message) {
                                                      count(message, urgent);
                                                  }};
    mailbox_attachment<peers_message> ordinaryInbox{wiring.peers, owner, [this](const peers_message &message) {
                                                        count(message, ordinary);
                                                    }};
    timer limit{owner, [this] {
                    owner.stop();
                }};

    static void count(const peers_message &message, std::size_t &counter)
    {
        const auto *sent = std::get_if<send_to_vms>(&message);
        counter += sent && sent->message.kind == channel::Registry && sent->message.version == departureVersion ? 1 : 0;
    }

    void run()
    {
        const std::vector<child_spec> children =
            controlChildren({.settings = settings, .secrets = secrets, .self = {1}}, {}, wiring);
        const auto departures = std::ranges::find(children, "departures", &child_spec::name);
        BOOST_TEST_REQUIRE((departures != children.end()));
        limit.arm(500ms);
        departures->body(owner);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(departures_child_test, departures_child_fixture)

// Guards against departures that wait behind all other requests to a peers task that is behind.
BOOST_AUTO_TEST_CASE(departure_told_goesBeforeOtherRequestsToThePeersTask)
{
    wiring.departures.post(departure_voters_changed{{{1}, {2}, {3}}});
    wiring.departures.post(departure_vms_changed{{{.id = {2}, .dataCentre = "", .isControl = true},
                                                  {.id = {3}, .dataCentre = "", .isControl = true},
                                                  {.id = {10}, .dataCentre = "", .isControl = false},
                                                  {.id = {11}, .dataCentre = "", .isControl = false},
                                                  {.id = {12}, .dataCentre = "", .isControl = false}}});
    wiring.departures.post(departure_submitted{{.name = "i-1", .processStartMs = 1}, [](bool) {
                                               }});
    run();
    BOOST_TEST(urgent >= 2U); // To hold it, and to pass it on.
    BOOST_TEST(ordinary == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
