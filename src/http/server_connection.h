#pragma once

#include "http/message_parser.h"
#include "runtime/loop.h"
#include "runtime/timer.h"

#include <guavafront/coordination/core/identifiers.h>

#include <functional>
#include <memory>
#include <string>

struct bufferevent;

namespace guavafront
{

/// Bounds of callers' connections; may change while they stand.
struct connection_limits {
    message_limits message; ///< Of one request.
    duration idleTimeout{}; ///< A silent connection is closed after it.
    duration headerTimeout{}; ///< From the first byte of a request to the end of its header section.
    duration receiveTimeout{}; ///< From the first byte of a request to its last.
};

class server_connection;

/// What the owner of a connection is told; called on the loop's thread.
struct connection_callbacks {
    std::function<void(server_connection &)> onRequest; ///< request() is whole and well-formed.
    std::function<void(server_connection &)> onCallerGone; ///< The caller left while its request ran.
    std::function<void(server_connection &)> onEnd; ///< The connection is over; it may be destroyed after the callback.
    std::function<void()> onMalformed; ///< A request was refused before its handler.
};

/// One caller's connection: reads a request, waits for its answer, reads the next. It goes on reading while a request
/// runs, so that a caller's leaving is seen. Loop's thread only.
class server_connection
{
public:
    /// Takes over a connected socket.
    server_connection(loop &owner, int descriptor, const connection_limits &limits, connection_callbacks callbacks);
    ~server_connection();
    server_connection(const server_connection &) = delete;
    server_connection &operator=(const server_connection &) = delete;

    /// The request that waits for its answer.
    received_message &request();

    /// Header fields of the request.
    std::span<const header_view> fields() const;

    /// Normalized host of the request.
    const std::string &host() const;

    /// Normalized path of the request.
    const std::string &path() const;

    /// Query of the request without '?'.
    std::string_view query() const;

    /// Path of the request as it was sent, without query.
    std::string_view rawPath() const;

    /// Answers the request; lastOne closes the connection afterwards.
    void answer(const http_answer &reply, bool closeAfterwards);

    /// Whether a request was received or has begun to come, or an answer isn't flushed yet.
    bool busy() const;

    /// Whether a request is with its handler.
    bool running() const;

    /// Closes it after what runs.
    void closeWhenIdle();

    /// The socket.
    int descriptor() const;

    exchange_id currentExchange; ///< Number of the request with the handler, given by the owner.

private:
    enum class phase : std::uint8_t { Reading, Running, Lingering, Ended };

    static void readCallback(bufferevent *socket, void *self);
    static void writeCallback(bufferevent *socket, void *self);
    static void eventCallback(bufferevent *socket, short events, void *self);
    void process();
    bool processInput();
    bool handleHeaders(const received_message &head);
    void refuseFaultyRequest();
    void refuse(int status);
    void write(const http_answer &reply, bool closeAfterwards);
    void linger();
    void end();
    void handleTimeout();
    void armReadTimer();
    void handleFlushed();

    loop &m_loop; ///< Not owned.
    const connection_limits &m_limits; ///< The server's.
    connection_callbacks m_callbacks; ///< As constructed.
    bufferevent *m_socket; ///< Owned.
    message_parser m_parser; ///< Of requests.
    timer m_timer; ///< Bounds idleness, receiving, flushing and lingering.
    phase m_phase = phase::Reading; ///< What the connection does.
    bool m_processing = false; ///< process() is on the stack.
    bool m_closing = false; ///< No further request is read.
    bool m_peerClosed = false; ///< The caller sent its end.
    bool m_continueSent = false; ///< 100 was sent for the present request.
    instant m_requestStartedAt{}; ///< When the first byte of the present request came.
    std::vector<header_view> m_fields; ///< Of the request that runs.
    std::string m_host; ///< Normalized.
    std::string m_path; ///< Normalized.
};

} // namespace guavafront
