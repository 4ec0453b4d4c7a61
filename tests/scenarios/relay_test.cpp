#include "fleet/fleet_processes.h"
#include "http/http_call.h"
#include "http/http_server.h"
#include "scenarios/relay.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <boost/test/unit_test.hpp>

#include <future>

namespace guavafront
{

namespace
{

/// An HTTP server that answers each request at once, reached through a relay.
struct relay_fixture {
    loop events;
    http_server server{events,
                       {},
                       {.onRequest = [this](exchange_id id, const http_request &) { answer(id); },
                        .onCallerGone =
                            [](exchange_id) {
                            }}};
    std::thread thread{[this] {
        events.run();
    }};
    relay link;

    relay_fixture()
    {
        link.post(set_relay_target{endpoint{"127.0.0.1", server.port()}});
    }

    ~relay_fixture()
    {
        events.requestStop();
        thread.join();
    }

    void answer(exchange_id id)
    {
        server.answer(id, {.status = 200, .headers = {}, .body = {}});
    }

    int status() const
    {
        return httpCall({"127.0.0.1", link.port()}, {.method = "GET", .target = "/"}).status;
    }

    void set(link_direction direction, link_mode mode)
    {
        link.post(set_relay_mode{
            .sourceIp = {}, .direction = direction, .mode = mode, .delay = std::chrono::milliseconds(1)});
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(relay_test, relay_fixture)

BOOST_AUTO_TEST_CASE(bytes_linkPassesOrDelays_arrive)
{
    BOOST_TEST(status() == 200);
    set(link_direction::Towards, link_mode::Delay);
    BOOST_TEST(status() == 200);
}

BOOST_AUTO_TEST_CASE(bytes_oneWayCutThenHealed_arriveLate)
{
    for (const link_direction direction : {link_direction::Towards, link_direction::Away}) {
        set(direction, link_mode::Hold);
        std::future<int> answer = std::async(std::launch::async, [this] { return status(); });
        fleet_processes::waitUntil("bytes are held", [this, direction] { return link.heldBytes(direction) > 0; });
        set(direction, link_mode::Pass);
        BOOST_TEST(answer.get() == 200);
    }
}

BOOST_AUTO_TEST_CASE(answer_reset_connectionEndsWithoutIt)
{
    set(link_direction::Away, link_mode::Reset);
    BOOST_CHECK_THROW(status(), coordination_error);
}

BOOST_AUTO_TEST_CASE(connection_ownerGone_refused)
{
    link.post(set_relay_target{});
    link.heldBytes(link_direction::Away); // Waits until the task has handled the message above.
    BOOST_CHECK_EXCEPTION(status(), coordination_error,
                          [](const coordination_error &error) { return error.code() == result_code::ConnectFailed; });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
