#pragma once

#include "http/http_message.h"
#include "http/server_connection.h"
#include "runtime/loop.h"
#include "runtime/timer.h"

#include <guavafront/coordination/core/identifiers.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

struct event;
struct evconnlistener;
struct sockaddr;

namespace guavafront
{

/// Settings of one HTTP server.
struct http_server_options {
    std::string address = "127.0.0.1"; ///< IP number to listen on.
    std::uint16_t port = 0; ///< 0 takes a free one.
    bool reusePort = false; ///< Several servers may listen on the same port (SO_REUSEPORT).
    std::size_t headerLimitBytes = std::size_t{32} * 1024; ///< Request line and header fields.
    std::size_t bodyLimitBytes = std::size_t{1024} * 1024; ///< Request body.
    std::size_t connectionLimit = 10'000; ///< Further callers wait in the listen queue.
    duration idleTimeout = std::chrono::seconds(60); ///< Silent connections are closed.
    duration headerTimeout = std::chrono::seconds(30); ///< Time to receive a header section, first byte to last.
    duration receiveTimeout = std::chrono::seconds(30); ///< Time to receive one request, first byte to last.
};

/// What a server does with requests; called on the loop's thread.
struct http_handler {
    /// A well-formed request came; its views live until it is answered or its caller has gone.
    std::function<void(exchange_id, const http_request &)> onRequest;

    /// The caller went away before its answer; no answer is possible any more.
    std::function<void(exchange_id)> onCallerGone;
};

/// HTTP server for callers. Refuses what RFC 9112 calls invalid before the handler sees it. Loop's thread only.
class http_server
{
public:
    /// Listens at once. Throws coordination_error (SettingInvalid) when the address can't be had.
    http_server(loop &owner, http_server_options options, http_handler handler);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// Puts other bounds of requests in force, from the next request of each connection on.
    void setLimits(const connection_limits &limits);

    /// Tells callers with each answer that the connection closes, while new ones are still taken.
    void announceClose();

    /// Port that it listens on.
    std::uint16_t port() const;

    /// Answers an exchange, exactly once; false when its caller has gone.
    bool answer(exchange_id id, const http_answer &reply);

    /// Socket of an exchange's caller, for its address; -1 when the caller has gone. Stays owned by the server.
    int callerDescriptor(exchange_id id) const;

    /// Graceful stop: closes the listener, answers what runs with Connection: close, closes idle connections after
    /// idleGrace, then calls onStopped. The server may be destroyed only after that callback has returned.
    void stop(duration idleGrace, std::function<void()> onStopped);

    /// Requests that are with the handler.
    std::size_t runningRequests() const;

    /// Callers' connections.
    std::size_t connections() const;

    /// Requests refused as malformed so far.
    std::uint64_t malformedRequests() const;

private:
    struct listener_deleter {
        void operator()(evconnlistener *owned) const;
    };
    struct event_deleter {
        void operator()(event *owned) const;
    };

    void listen();
    void accept(int descriptor);
    void handleRequest(server_connection &from);
    void connectionEnded(server_connection &ended);
    void destroyEnded();
    void finishStopWhenDrained();
    void closeIdle();

    static void acceptCallback(evconnlistener *listener, int descriptor, sockaddr *address, int length, void *self);
    static void destroyCallback(int descriptor, short events, void *self);

    loop &m_loop; ///< Not owned.
    const http_server_options m_options; ///< As constructed.
    const http_handler m_handler; ///< As constructed.
    connection_limits m_limits; ///< In force.
    std::unique_ptr<evconnlistener, listener_deleter> m_listener; ///< Null once stopped.
    std::unique_ptr<event, event_deleter> m_destroyEvent; ///< Destroys ended connections outside their callbacks.
    std::uint16_t m_port = 0; ///< Bound port.
    std::uint64_t m_lastExchange = 0; ///< Highest number given.
    std::uint64_t m_malformed = 0; ///< Requests refused.
    std::unordered_map<server_connection *, std::unique_ptr<server_connection>> m_connections; ///< All that stand.
    std::vector<std::unique_ptr<server_connection>> m_ended; ///< To be destroyed by destroyEnded().
    std::unordered_map<exchange_id, server_connection *> m_exchanges; ///< Requests with the handler.
    timer m_idleGrace; ///< Ends the grace of idle connections while stopping.
    bool m_announceClose = false; ///< See announceClose().
    bool m_closingIdle = false; ///< Stopping, and the grace is over.
    std::function<void()> m_onStopped; ///< Set while stopping.
};

} // namespace guavafront
