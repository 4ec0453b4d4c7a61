#pragma once

#include "http/connection_table.h"
#include "http/http_message.h"
#include "runtime/loop.h"
#include "runtime/timer.h"

#include <guavafront/coordination/core/identifiers.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

struct bufferevent;
struct event_base;
struct evconnlistener;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

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

    /// Connections, give or take those that closed within the last housekeeping period.
    std::size_t connections() const;

    /// Requests refused as malformed so far.
    std::uint64_t malformedRequests() const;

private:
    struct exchange;
    struct http_deleter {
        void operator()(evhttp *owned) const;
    };

    void listen();
    void receive(evhttp_request *received);
    void refuseMalformed(evhttp_request *received);
    void dispatch(evhttp_request *received, std::unique_ptr<exchange> opened);
    void watchCaller(exchange &opened);
    void callerGone(exchange_id id);
    void send(evhttp_request *received, const http_answer &reply);
    void houseKeep();
    void finishStop();

    static bufferevent *connectionCallback(event_base *base, void *self);
    static void requestCallback(evhttp_request *received, void *self);
    static void answeredCallback(evhttp_request *answered, void *self);
    static void callerGoneCallback(int descriptor, short events, void *opened);

    loop &m_loop; ///< Not owned.
    const http_server_options m_options; ///< As constructed.
    const http_handler m_handler; ///< As constructed.
    connection_table m_connections; ///< Outlives m_http, whose end closes them.
    std::unique_ptr<evhttp, http_deleter> m_http; ///< The library's server.
    evhttp_bound_socket *m_listener = nullptr; ///< Owned by m_http; null once stopped.
    bool m_listenerPaused = false; ///< The limit of connections is reached.
    std::uint16_t m_port = 0; ///< Bound port.
    std::uint64_t m_lastExchange = 0; ///< Highest number given.
    std::uint64_t m_malformed = 0; ///< Requests refused.
    std::unordered_map<exchange_id, std::unique_ptr<exchange>> m_exchanges; ///< Requests with the handler.
    timer m_houseKeeping; ///< Periodic while the server lives.
    bool m_stopping = false; ///< stop() was called.
    instant m_closeIdleAt{}; ///< While stopping.
    std::function<void()> m_onStopped; ///< Set while stopping.
};

} // namespace guavafront
