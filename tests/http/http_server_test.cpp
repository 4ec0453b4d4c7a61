#include "http/http_server.h"
#include "http/raw_peer.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>

namespace guavafront
{

namespace
{

/// Raw request and whether it must reach the handler.
struct raw_request {
    const char *name; ///< Name in the test report.
    std::string_view bytes; ///< Bytes that the caller sends.
    bool accepted; ///< Whether the handler must be called with the request.
};

std::ostream &operator<<(std::ostream &out, const raw_request &each)
{
    return out << each.name;
}

using namespace std::string_view_literals;

constexpr std::array requests{
    raw_request{"plain", "GET /a HTTP/1.1\r\nHost: x\r\n\r\n", true},
    raw_request{"counted", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi", true},
    raw_request{"chunked", "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
                true},
    raw_request{"chunkExtension",
                "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2;x=1\r\nhi\r\n0;y\r\n\r\n", true},
    raw_request{"quotedChunkExtension",
                "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2;x=\"a b\"\r\nhi\r\n0;y\r\n\r\n",
                true},
    raw_request{"emptyLineFirst", "\r\nGET /a HTTP/1.1\r\nHost: x\r\n\r\n", true},
    raw_request{"twoEqualLengths", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nhi",
                false},
    raw_request{"twoLengths", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi!",
                false},
    raw_request{"signedLength", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: +2\r\n\r\nhi", false},
    raw_request{"negativeLength", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: -2\r\n\r\nhi", false},
    raw_request{"unknownCoding", "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\nhi", false},
    raw_request{"lengthWithChunked",
                "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                false},
    raw_request{"spaceBeforeColon", "GET /a HTTP/1.1\r\nHost: x\r\nX-Api-Key : secret\r\n\r\n", false},
    raw_request{"nameNotToken", "GET /a HTTP/1.1\r\nHost: x\r\nX(Api)Key: secret\r\n\r\n", false},
    raw_request{"bareReturnInValue", "GET /a HTTP/1.1\r\nHost: x\r\nX-Note: a\rX-Api-Key: b\r\n\r\n", false},
    raw_request{"controlInValue", "GET /a HTTP/1.1\r\nHost: x\r\nX-Note: a\x01z\r\n\r\n", false},
    raw_request{"nulInValue", "GET /a HTTP/1.1\r\nHost: x\r\nX-Note: a\0z\r\n\r\n"sv, false},
    raw_request{"noHost", "GET /a HTTP/1.1\r\nX: y\r\n\r\n", false},
    raw_request{"twoHosts", "GET /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", false},
    raw_request{"hostWithSlash", "GET /a HTTP/1.1\r\nHost: x/y\r\n\r\n", false},
    raw_request{"dotSegment", "GET /a/../b HTTP/1.1\r\nHost: x\r\n\r\n", false},
    raw_request{"encodedDotSegment", "GET /a/%2e%2E/b HTTP/1.1\r\nHost: x\r\n\r\n", false},
    raw_request{"encodedSlash", "GET /a%2Fb HTTP/1.1\r\nHost: x\r\n\r\n", false},
    raw_request{"spaceInTarget", "GET /a b HTTP/1.1\r\nHost: x\r\n\r\n", false},
    raw_request{"unknownMethod", "BREW /a HTTP/1.1\r\nHost: x\r\n\r\n", false},
};

/// Server that records the requests passed to its handler. It answers them at once while answerAtOnce is set and stops
/// the loop otherwise.
struct http_server_fixture : loop_fixture {
    struct seen_request {
        exchange_id id;
        std::string text;
        std::string body;
    };
    std::vector<seen_request> seen;
    std::vector<exchange_id> goneCallers;
    bool answerAtOnce = true;
    http_answer reply{.status = 200, .headers = {{"X-Kind", "lista"}}, .body = {std::byte{'o'}, std::byte{'k'}}};
    http_server_options options;
    std::unique_ptr<http_server> server;
    std::unique_ptr<raw_peer> caller;

    void start()
    {
        server = std::make_unique<http_server>(
            events, options,
            http_handler{.onRequest = [this](exchange_id id, const http_request &request) { receive(id, request); },
                         .onCallerGone =
                             [this](exchange_id id) {
                                 goneCallers.push_back(id);
                                 events.stop();
                             }});
        caller = std::make_unique<raw_peer>(events, -1);
        caller->connectTo(server->port());
    }

    void receive(exchange_id id, const http_request &request)
    {
        std::string text(request.method);
        text.append(" ").append(request.host).append(" ").append(request.path).append(" ").append(request.query);
        seen.push_back({.id = id, .text = text, .body = std::string(textOf(request.body))});
        if (answerAtOnce) {
            server->answer(id, reply);
        } else {
            events.stop();
        }
    }

    /// Runs the loop until the caller has received the text or its connection has ended.
    void runUntilCallerGets(std::string_view text)
    {
        caller->onChange = [this, text] {
            if (caller->ended || caller->received.find(text) != std::string::npos) {
                events.stop();
            }
        };
        if (!caller->ended) {
            run();
        }
        caller->onChange = [] {
        };
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_server_test, http_server_fixture)

BOOST_DATA_TEST_CASE_F(http_server_fixture, request_rawBytes_invalidNeverReachesHandler,
                       boost::unit_test::data::make(requests), each)
{
    start();
    caller->write(each.bytes);
    runUntilCallerGets(each.accepted ? "ok" : "the end only");
    BOOST_TEST(seen.size() == (each.accepted ? 1U : 0U));
    BOOST_TEST(caller->received.starts_with("HTTP/1.1 200") == each.accepted);
    BOOST_TEST(caller->ended == !each.accepted);
    BOOST_TEST((each.accepted || caller->received.find(" 40") != std::string::npos
                || caller->received.find(" 501") != std::string::npos));
}

BOOST_AUTO_TEST_CASE(request_mixedSpelling_normalized)
{
    start();
    caller->write("POST /li%73tas/%C3%B1?dia=1 HTTP/1.1\r\nHost: Rutas.Example:8080\r\nContent-Length: 2\r\n\r\nhi");
    runUntilCallerGets("ok");
    BOOST_REQUIRE(seen.size() == 1U);
    BOOST_TEST(seen[0].text == "POST rutas.example /listas/%C3%B1 dia=1");
    BOOST_TEST(seen[0].body == "hi");
}

BOOST_AUTO_TEST_CASE(request_pipelined_answeredInOrder)
{
    start();
    caller->write("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    runUntilCallerGets("the end only");
    BOOST_REQUIRE(seen.size() == 2U);
    BOOST_TEST(seen[1].text == "GET x /2 ");
}

BOOST_AUTO_TEST_CASE(request_emptyLineBetweenTwo_bothAnswered)
{
    start();
    caller->write("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
    runUntilCallerGets("okHTTP/1.1 200 OK\r\nX-Kind: lista\r\nContent-Length: 2\r\n\r\nok");
    BOOST_TEST(seen.size() == 2U);
}

BOOST_AUTO_TEST_CASE(request_pipelinedSecondMalformed_firstAnsweredFirst)
{
    start();
    caller->write("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n");
    runUntilCallerGets("HTTP/1.1 400");
    BOOST_TEST(caller->received.starts_with("HTTP/1.1 200"));
    BOOST_TEST(seen.size() == 1U);
}

BOOST_AUTO_TEST_CASE(memory_requestWithoutEnd_refusedAndOthersServed)
{
    options.ownMemoryBytes = 100'000;
    start();
    raw_peer endless(events, -1);
    endless.connectTo(server->port());
    endless.write("POST /long HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int chunk = 0; chunk < 100; ++chunk) {
        endless.write("3e8\r\n" + std::string(1'000, 'x') + "\r\n");
    }
    endless.onChange = [this] {
        events.stop();
    };
    run();
    BOOST_TEST(endless.received.starts_with("HTTP/1.1 413"));
    endless.onChange = [] {
    };
    caller->write("GET /short HTTP/1.1\r\nHost: x\r\n\r\n");
    runUntilCallerGets("ok");
    BOOST_REQUIRE(seen.size() == 1U);
    BOOST_TEST(seen[0].text == "GET x /short ");
}

BOOST_AUTO_TEST_CASE(memory_manyLongRequests_oneThatHoldsMostRefusedAsNotRun)
{
    options.ownMemoryBytes = 100'000;
    start();
    const std::string head = "POST /long HTTP/1.1\r\nHost: x\r\nContent-Length: 45000\r\n\r\n";
    std::vector<std::unique_ptr<raw_peer>> others;
    std::string refusal;
    for (int index = 0; index < 4; ++index) {
        others.push_back(std::make_unique<raw_peer>(events, -1));
        raw_peer &other = *others.back();
        other.connectTo(server->port());
        other.write(head + std::string(40'000, 'x'));
        other.onChange = [this, &other, &refusal] {
            refusal += other.received;
            events.stop();
        };
    }
    run();
    BOOST_TEST(refusal.starts_with("HTTP/1.1 503"));
    BOOST_TEST(refusal.find("Retry-After: 1") != std::string::npos);
    BOOST_TEST(seen.empty());
}

BOOST_AUTO_TEST_CASE(answer_callerWentAway_noticedAndNotSent)
{
    answerAtOnce = false;
    start();
    caller->write("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    run();
    caller->close();
    run();
    BOOST_REQUIRE(goneCallers.size() == 1U);
    BOOST_TEST(!server->answer(goneCallers[0], reply));
    BOOST_TEST(server->runningRequests() == 0U);
}

BOOST_AUTO_TEST_CASE(answer_givenLaterAndTwice_sentOnce)
{
    answerAtOnce = false;
    start();
    caller->write("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    run();
    BOOST_TEST(server->answer(seen[0].id, reply));
    BOOST_TEST(!server->answer(seen[0].id, reply));
    runUntilCallerGets("ok");
    BOOST_TEST(caller->received.find("X-Kind: lista") != std::string::npos);
    BOOST_TEST(caller->received.find("HTTP/1.1", 1) == std::string::npos);
}

BOOST_AUTO_TEST_CASE(request_bodyOverLimit_refused)
{
    options.bodyLimitBytes = 8;
    start();
    caller->write("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n123456789");
    runUntilCallerGets("the end only");
    BOOST_TEST(seen.empty());
}

BOOST_AUTO_TEST_CASE(request_headerOverLimit_refused)
{
    options.headerLimitBytes = 256;
    start();
    caller->write("GET /a HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(1000, 'a') + "\r\n\r\n");
    runUntilCallerGets("the end only");
    BOOST_TEST(seen.empty());
}

BOOST_AUTO_TEST_CASE(connection_slowSender_closed)
{
    options.receiveTimeout = std::chrono::milliseconds(50);
    start();
    caller->write("GET /a HTT");
    runUntilCallerGets("the end only");
    BOOST_TEST(caller->ended);
}

BOOST_AUTO_TEST_CASE(connection_limitReached_nextWaitsInListenQueue)
{
    options.connectionLimit = 1;
    start();
    caller->write("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
    runUntilCallerGets("ok");
    raw_peer second(events, -1);
    second.connectTo(server->port());
    second.write("GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
    second.onChange = [this] {
        events.stop();
    };
    caller->write("GET /3 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    run();
    BOOST_REQUIRE(seen.size() == 3U);
    BOOST_TEST(seen[1].text == "GET x /3 ");
}

BOOST_AUTO_TEST_CASE(stop_requestRunning_answeredBeforeClose)
{
    answerAtOnce = false;
    start();
    caller->write("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    run();
    bool stopped = false;
    server->stop(duration::zero(), [this, &stopped] {
        stopped = true;
        events.stop();
    });
    timer later(events, [this] { server->answer(seen[0].id, reply); });
    later.arm(std::chrono::milliseconds(250));
    run();
    BOOST_TEST(stopped);
    BOOST_TEST(server->runningRequests() == 0U);
    runUntilCallerGets("the end only");
    BOOST_TEST(caller->received.find("Connection: close") != std::string::npos);
    BOOST_TEST(caller->received.ends_with("ok"));
}

BOOST_AUTO_TEST_CASE(stop_requestHalfReceived_takenWholeAndAnswered)
{
    start();
    bool stopped = false;
    caller->write("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nab");
    timer stopSoon(events, [this, &stopped] { server->stop({}, [&stopped] { stopped = true; }); });
    timer finishLater(events, [this] { caller->write("cd"); });
    stopSoon.arm(std::chrono::milliseconds(50));
    finishLater.arm(std::chrono::milliseconds(150));
    runUntilCallerGets("ok");
    BOOST_TEST(caller->received.starts_with("HTTP/1.1 200"));
    BOOST_TEST(caller->received.find("Connection: close") != std::string::npos);
    BOOST_TEST(seen.size() == 1U);
}

BOOST_AUTO_TEST_CASE(stop_idleConnection_closedAndStopCompletes)
{
    start();
    caller->write("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    runUntilCallerGets("ok");
    server->stop(duration::zero(), [this] { events.stop(); });
    run();
    runUntilCallerGets("the end only");
    BOOST_TEST(caller->ended);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
