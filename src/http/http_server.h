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
    std::string address = "127.0.0.1"; ///< IP address to listen on.
    std::uint16_t port = 0; ///< Port to listen on; 0 takes a free one.
    bool reusePort = false; ///< Allows several servers to listen on the same port (SO_REUSEPORT).
    std::size_t headerLimitBytes = std::size_t{32} * 1024; ///< Largest request line with header fields.
    std::size_t bodyLimitBytes = std::size_t{1024} * 1024; ///< Largest request body.
    /// Memory limit shared with other connections. Not owned, must outlive the server; null for a limit of the server's
    /// own.
    message_memory *memory = nullptr;
    std::size_t ownMemoryBytes = std::size_t{16} * 1024 * 1024; ///< Limit of the server's own, if memory is null.
    std::size_t connectionLimit = 10'000; ///< Open connections; further callers wait in the listen queue.
    duration idleTimeout = std::chrono::seconds(60); ///< Time after which a connection without a request is closed.
    duration headerTimeout = std::chrono::seconds(30); ///< Time from the first byte of a request to its last field.
    duration receiveTimeout = std::chrono::seconds(30); ///< Time from the first byte of a request to its last.
    /// Time in which a caller must read some of the bytes that are sent to it.
    duration sendProgressTimeout = std::chrono::seconds(10);
};

/// Callbacks of an http_server, called on the loop's thread.
struct http_handler {
    /// Called for each well-formed request; its views are valid until it is answered or its caller has disconnected.
    std::function<void(exchange_id, const http_request &)> onRequest;

    /// Called when a caller disconnects before its request is answered; the request can't be answered any more.
    std::function<void(exchange_id)> onCallerGone;
};

/// HTTP/1.1 server. Requests that RFC 9112 calls invalid are refused without calling the handler. All members must be
/// called on the loop's thread.
class http_server
{
public:
    /// Starts listening. Throws coordination_error (SettingInvalid) when the address is invalid or can't be bound.
    http_server(loop &owner, http_server_options options, http_handler handler);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// Replaces the size limits and timeouts. An open connection applies new size limits only after its
    /// next answer.
    void setLimits(const connection_limits &limits);

    /// Adds Connection: close to every answer from now on. New connections are still accepted.
    void announceClose();

    /// Port that the server listens on.
    std::uint16_t port() const;

    /// Sends the answer to a request. Returns false and sends nothing when the request was already answered or its
    /// caller has disconnected.
    bool answer(exchange_id id, const http_answer &reply);

    /// Socket on which the request came, for example to look up the caller's address. -1 when the request was answered
    /// or its caller has disconnected. The server keeps ownership.
    int callerDescriptor(exchange_id id) const;

    /// Stops gracefully: closes the listener, sends every further answer with Connection: close, closes idle
    /// connections after idleGrace, and calls onStopped when no connection is left. The server may be destroyed only
    /// after that callback has returned.
    void stop(duration idleGrace, std::function<void()> onStopped);

    /// Number of running requests: passed to the handler, not answered, and their callers still connected.
    std::size_t runningRequests() const;

    /// Number of open connections.
    std::size_t connections() const;

    /// Number of requests refused before they reached the handler: malformed, too large or received too slowly.
    std::uint64_t malformedRequests() const;

private:
    /// Place of a running request; both stay valid until it is answered or its caller is gone.
    struct running_request {
        server_connection *connection = nullptr; ///< Connection of the caller; not owned.
        caller_request *request = nullptr; ///< The request; owned by the connection.
    };
    struct listener_deleter {
        void operator()(evconnlistener *owned) const;
    };
    struct event_deleter {
        void operator()(event *owned) const;
    };

    void listen();
    void accept(int descriptor);
    void handleRequest(server_connection &from, caller_request &received);
    void connectionEnded(server_connection &ended);
    void destroyEnded();
    void finishStopWhenDrained();
    void closeIdle();

    static void acceptCallback(evconnlistener *listener, int descriptor, sockaddr *address, int length, void *self);
    static void destroyCallback(int descriptor, short events, void *self);

    loop &m_loop; ///< Not owned.
    const http_server_options m_options;
    const http_handler m_handler;
    message_memory m_ownMemory; ///< Used if the options name no other.
    connection_limits m_limits; ///< Current limits; connections hold a reference to them.
    std::unique_ptr<evconnlistener, listener_deleter> m_listener; ///< Null once stop() was called.
    std::unique_ptr<event, event_deleter> m_destroyEvent; ///< Runs destroyEnded() outside the connections' callbacks.
    std::uint16_t m_port = 0; ///< Port that was bound.
    std::uint64_t m_lastExchange = 0; ///< Highest exchange number assigned so far.
    std::uint64_t m_malformed = 0; ///< See malformedRequests().
    std::unordered_map<server_connection *, std::unique_ptr<server_connection>> m_connections; ///< Open connections.
    std::vector<std::unique_ptr<server_connection>> m_ended; ///< Connections that destroyEnded() will destroy.
    std::unordered_map<exchange_id, running_request> m_exchanges; ///< Running requests.
    timer m_idleGrace; ///< Runs closeIdle() once the grace period of stop() is over.
    bool m_announceClose = false; ///< Whether every answer gets Connection: close.
    bool m_closingIdle = false; ///< stop() was called and its grace period is over.
    std::function<void()> m_onStopped; ///< Callback of stop(); empty before and after.
};

} // namespace guavafront
