#include "http/http_message.h"
#include "http/message_parser.h"
#include "http/raw_peer.h"
#include "http/upstream_connection.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>

namespace guavafront
{

namespace
{

/// First line of an answer, and whether it has a status that a caller may get.
struct status_line {
    std::string_view text; ///< The line without its end.
    bool valid; ///< Whether the answer must be taken.
};

std::ostream &operator<<(std::ostream &out, const status_line &each)
{
    return out << each.text;
}

constexpr std::array statusLines{
    status_line{"HTTP/1.1 200 OK", true},   status_line{"HTTP/1.1 200", true},
    status_line{"HTTP/1.1 599 Odd", true},  status_line{"HTTP/1.0 404 Not Found", true},
    status_line{"HTTP/1.1 000 OK", false},  status_line{"HTTP/1.1 099 OK", false},
    status_line{"HTTP/1.1 20 OK", false},   status_line{"HTTP/1.1 0200 OK", false},
    status_line{"HTTP/1.1 1000 OK", false}, status_line{"HTTP/1.1 600 OK", false},
    status_line{"HTTP/1.1 700 OK", false},  status_line{"HTTP/1.1 999 OK", false},
    status_line{"HTTP/1.1 -1 OK", false},   status_line{"HTTP/1.1 2OO OK", false},
    status_line{"HTTP/1.1", false},         status_line{"HTTP/1.1  200 OK", false},
    status_line{"HTTP/1.1 200OK", false},
};

/// Parser of answers that gets its bytes in parts of a given size.
struct status_line_fixture {
    message_parser parser{HTTP_RESPONSE, {}, {}};

    void parse(std::string_view bytes, std::size_t partSize)
    {
        while (!bytes.empty() && parser.fault() == message_fault::None && !parser.complete()) {
            const std::string_view part = bytes.substr(0, partSize);
            bytes.remove_prefix(parser.consume(bytesOf(part)));
        }
    }
};

constexpr std::string_view restOfAnswer = "\r\nContent-Length: 2\r\n\r\nok";

} // namespace

BOOST_FIXTURE_TEST_SUITE(status_line_test, status_line_fixture)

// Guards against passing an answer without a valid status on to a caller: an instance in trouble answered with 000.
BOOST_DATA_TEST_CASE_F(status_line_fixture, answer_statusLine_takenOnlyWithAStatusOfRfc9110,
                       boost::unit_test::data::make(statusLines), each)
{
    for (const std::size_t partSize : {std::size_t{1}, std::size_t{7}, std::size_t{100}}) {
        parser.reset();
        parse(std::string(each.text).append(restOfAnswer), partSize);
        BOOST_TEST((parser.fault() == message_fault::None) == each.valid);
        BOOST_TEST(parser.complete() == each.valid);
    }
}

BOOST_AUTO_TEST_CASE(answer_status000AfterContinue_refused)
{
    parse("HTTP/1.1 100 Continue\r\n\r\n", 100);
    BOOST_TEST(parser.complete());
    parser.reset();
    parse(std::string("HTTP/1.1 000 OK").append(restOfAnswer), 100);
    BOOST_TEST((parser.fault() == message_fault::Malformed));
}

// Guards against taking such an answer once the connection has served another request.
BOOST_AUTO_TEST_CASE(connection_status000AfterAnotherAnswer_incompleteAndNotReusable)
{
    loop_fixture network;
    std::string_view reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    raw_listener upstream(network.events, [&reply](raw_peer &peer) {
        peer.onChange = [&reply, &peer] {
            peer.write(peer.received.empty() ? std::string_view() : reply);
            peer.received.clear();
        };
    });
    upstream_connection connection(network.events, upstream_connection_options{.port = upstream.port}, [] {});
    std::optional<upstream_outcome> last;
    const auto exchange = [&] {
        connection.send(
            {.method = "GET", .target = "/", .headers = {}, .body = {}, .timeout = std::chrono::seconds(10)},
            [&](upstream_outcome outcome) {
                last = std::move(outcome);
                network.events.stop();
            });
        network.run();
    };
    exchange();
    BOOST_REQUIRE(connection.usable());
    reply = "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok";
    exchange();
    BOOST_TEST((last->result == upstream_result::AnswerIncomplete));
    BOOST_TEST(!last->reusable);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
