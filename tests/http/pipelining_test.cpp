#include "http/http_server.h"
#include "http/raw_peer.h"

#include <boost/test/unit_test.hpp>

#include <optional>

namespace guavafront
{

namespace
{

std::string requestText(std::string_view method, std::string_view path, std::string_view fields = {})
{
    std::string text(method);
    text.append(" ").append(path).append(" HTTP/1.1\r\nHost: x\r\n").append(fields).append("\r\n");
    return text;
}

/// Server whose handler keeps requests until the test answers them, and one caller.
struct pipelining_fixture : loop_fixture {
    struct seen_request {
        exchange_id id;
        std::string path;
    };
    std::vector<seen_request> seen; ///< Requests passed to the handler.
    std::size_t goneCallers = 0; ///< Requests whose caller is gone.
    std::size_t awaited = 0; ///< Number of seen requests or gone callers that ends run().
    http_server_options options;
    std::optional<http_server> server;
    std::optional<raw_peer> caller;

    void start()
    {
        server.emplace(events, options,
                       http_handler{.onRequest =
                                        [this](exchange_id id, const http_request &request) {
                                            seen.push_back({.id = id, .path = std::string(request.path)});
                                            stopWhen(seen.size() == awaited);
                                        },
                                    .onCallerGone =
                                        [this](exchange_id) {
                                            ++goneCallers;
                                            stopWhen(goneCallers == awaited);
                                        }});
        caller.emplace(events, -1);
        caller->connectTo(server->port());
    }

    void stopWhen(bool reached)
    {
        if (reached) {
            events.stop();
        }
    }

    void runUntilSeen(std::size_t count)
    {
        awaited = count;
        if (seen.size() < count) {
            run();
        }
    }

    /// Runs the loop for a time in which nothing more may happen.
    void runFor(duration time)
    {
        timer end(events, [this] { events.stop(); });
        end.arm(time);
        run();
    }

    void runUntilEnded()
    {
        caller->onChange = [this] {
            stopWhen(caller->ended);
        };
        if (!caller->ended) {
            run();
        }
    }

    void answer(std::size_t index)
    {
        const std::span<const std::byte> body = bytesOf(seen[index].path);
        server->answer(seen[index].id, {.status = 200, .headers = {}, .body = {body.begin(), body.end()}});
    }

    /// Paths of the answered requests in the order of their answers.
    std::string answeredPaths() const
    {
        std::string paths;
        std::size_t at = 0;
        while ((at = caller->received.find("\r\n\r\n", at)) != std::string::npos) {
            at += 4;
            paths += caller->received.substr(at, 2);
        }
        return paths;
    }
};

constexpr duration quietTime = std::chrono::milliseconds(50);

} // namespace

BOOST_FIXTURE_TEST_SUITE(pipelining_test, pipelining_fixture)

// Guards against serving callers that send ahead one request after the other.
BOOST_AUTO_TEST_CASE(safeRequests_sentAhead_runTogetherAndAnsweredInOrder)
{
    start();
    caller->write(requestText("GET", "/1") + requestText("GET", "/2") + requestText("HEAD", "/3"));
    runUntilSeen(3);
    answer(2);
    answer(1);
    runFor(quietTime);
    BOOST_TEST(caller->received.empty());
    answer(0);
    runFor(quietTime);
    BOOST_TEST(answeredPaths() == "/1/2");
    BOOST_TEST(server->runningRequests() == 0U);
}

// Guards against running an unsafe request that the caller would send again after a lost connection.
BOOST_AUTO_TEST_CASE(unsafeRequest_behindRunningOne_startsAfterItsAnswer)
{
    start();
    caller->write(requestText("GET", "/1") + requestText("POST", "/2", "Content-Length: 0\r\n")
                  + requestText("GET", "/3"));
    runUntilSeen(1);
    runFor(quietTime);
    BOOST_TEST(seen.size() == 1U);
    answer(0);
    runUntilSeen(2);
    runFor(quietTime);
    BOOST_TEST(seen.size() == 2U);
    answer(1);
    runUntilSeen(3);
    answer(2);
    runFor(quietTime);
    BOOST_TEST(answeredPaths() == "/1/2/3");
}

// Guards against one connection that takes all slots.
BOOST_AUTO_TEST_CASE(requests_manySentAhead_eightRunAtOnce)
{
    start();
    for (int index = 0; index < 12; ++index) {
        caller->write(requestText("GET", "/" + std::to_string(index)));
    }
    runUntilSeen(8);
    runFor(quietTime);
    BOOST_TEST(seen.size() == 8U);
    answer(0);
    runUntilSeen(9);
    BOOST_TEST(seen.back().path == "/8");
}

// Guards against closing behind an answer while requests that were started wait for theirs.
BOOST_AUTO_TEST_CASE(closingAnswer_othersStartedBehind_allAnsweredBeforeTheClose)
{
    start();
    caller->write(requestText("GET", "/1") + requestText("GET", "/2") + requestText("POST", "/3"));
    runUntilSeen(2);
    server->announceClose();
    answer(0);
    runFor(quietTime);
    BOOST_TEST(caller->received.find("Connection: close") == std::string::npos);
    answer(1);
    runUntilEnded();
    BOOST_TEST(answeredPaths() == "/1/2");
    BOOST_TEST(caller->received.find("Connection: close") != std::string::npos);
    BOOST_TEST(seen.size() == 2U, "a request behind the last answer counts as unread");
}

BOOST_AUTO_TEST_CASE(request_behindTheCallersLastOne_notStarted)
{
    start();
    caller->write(requestText("GET", "/1", "Connection: close\r\n") + requestText("GET", "/2"));
    runUntilSeen(1);
    runFor(quietTime);
    answer(0);
    runUntilEnded();
    BOOST_TEST(seen.size() == 1U);
    BOOST_TEST(answeredPaths() == "/1");
}

// Guards against a stop that leaves a request sent ahead without an answer.
BOOST_AUTO_TEST_CASE(stop_requestsSentAheadRunning_allAnswered)
{
    start();
    caller->write(requestText("GET", "/1") + requestText("GET", "/2"));
    runUntilSeen(2);
    bool stopped = false;
    server->stop(duration::zero(), [&stopped] { stopped = true; });
    runFor(quietTime);
    answer(1);
    answer(0);
    runUntilEnded();
    caller->close();
    runFor(quietTime);
    BOOST_TEST(answeredPaths() == "/1/2");
    BOOST_TEST(stopped);
}

BOOST_AUTO_TEST_CASE(caller_leavesWithRequestsRunning_eachReportedOnce)
{
    start();
    caller->write(requestText("GET", "/1") + requestText("GET", "/2") + requestText("GET", "/3"));
    runUntilSeen(3);
    answer(1);
    caller->close();
    awaited = 2;
    run();
    runFor(quietTime);
    BOOST_TEST(goneCallers == 2U, "the second request was answered");
    BOOST_TEST(server->runningRequests() == 0U);
}

// Guards against a smuggled request: what a malformed request hides must neither run nor take another one's answer.
BOOST_AUTO_TEST_CASE(malformedRequest_behindRunningOne_refusedInItsPlaceAndNothingBehindRuns)
{
    const std::vector<std::string> malformed{
        requestText("GET", "/2", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n",
        requestText("GET", "/2", "Content-Length: 0\r\nContent-Length: 30\r\n"),
        requestText("GET", "/2", "Transfer-Encoding: chunked, identity\r\n"),
        requestText("GET", "/2", "Transfer-Encoding : chunked\r\n"),
        requestText("GET", "/2", "Host: y\r\n"),
    };
    for (const std::string &each : malformed) {
        seen.clear();
        start();
        caller->write(requestText("GET", "/1") + each + requestText("GET", "/3"));
        runUntilSeen(1);
        runFor(quietTime);
        BOOST_TEST(caller->received.empty());
        answer(0);
        runUntilEnded();
        BOOST_TEST(seen.size() == 1U);
        BOOST_TEST(caller->received.starts_with("HTTP/1.1 200"));
        BOOST_TEST(caller->received.find("HTTP/1.1 400") != std::string::npos);
    }
}

// Guards against 100 Continue in the middle of the answers to earlier requests.
BOOST_AUTO_TEST_CASE(continueExpected_behindRunningRequest_sentAfterItsAnswer)
{
    start();
    caller->write(requestText("GET", "/1")
                  + requestText("POST", "/2", "Content-Length: 2\r\nExpect: 100-continue\r\n"));
    runUntilSeen(1);
    runFor(quietTime);
    BOOST_TEST(caller->received.empty());
    answer(0);
    runFor(quietTime);
    BOOST_TEST(caller->received.ends_with("/1HTTP/1.1 100 Continue\r\n\r\n"));
    caller->write("hi");
    runUntilSeen(2);
}

// Guards against a caller that sends ahead and doesn't read: it holds memory, but no further slots, and not for long.
BOOST_AUTO_TEST_CASE(caller_doesNotRead_noFurtherRequestStartsAndDisconnected)
{
    options.sendProgressTimeout = std::chrono::milliseconds(200);
    options.ownMemoryBytes = std::size_t{64} << 20;
    start();
    caller->stopReading();
    caller->write(requestText("GET", "/1") + requestText("GET", "/2") + requestText("POST", "/3"));
    runUntilSeen(2);
    server->answer(seen[0].id, {.status = 200, .headers = {}, .body = std::vector<std::byte>(std::size_t{16} << 20)});
    awaited = 1;
    run();
    BOOST_TEST(goneCallers == 1U);
    BOOST_TEST(seen.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
