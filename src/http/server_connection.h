#pragma once

#include "http/message_memory.h"
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

/// Size limits and timeouts of callers' connections. They may change while connections are open.
struct connection_limits {
    message_limits message; ///< Size limits of one request.
    duration idleTimeout{}; ///< Time after which a connection without a request is closed.
    duration headerTimeout{}; ///< Time from the first byte of a request to the end of its header section.
    duration receiveTimeout{}; ///< Time from the first byte of a request to its last.
    /// Memory limit shared with other connections; null for none. Not owned, must outlive the connections.
    message_memory *memory = nullptr;
};

class server_connection;

/// Callbacks of a server_connection, called on the loop's thread.
struct connection_callbacks {
    std::function<void(server_connection &)> onRequest; ///< A well-formed request is complete; see request().
    std::function<void(server_connection &)> onCallerGone; ///< The caller disconnected while its request ran.
    std::function<void(server_connection &)> onEnd; ///< The connection has ended; destroy it only after this returns.
    std::function<void()> onMalformed; ///< A request was refused and not passed to onRequest.
};

/// Connection of one caller, which handles one request at a time. It keeps reading from the socket while a request
/// runs, so that it notices when the caller disconnects. All members must be called on the loop's thread.
class server_connection
{
public:
    /// Takes ownership of a connected socket. limits must outlive the connection.
    server_connection(loop &owner, int descriptor, const connection_limits &limits, connection_callbacks callbacks);
    ~server_connection();
    server_connection(const server_connection &) = delete;
    server_connection &operator=(const server_connection &) = delete;

    /// The running request.
    received_message &request();

    /// Header fields of the running request.
    std::span<const header_view> fields() const;

    /// Host of the running request, as normalizeHost() returns it.
    const std::string &host() const;

    /// Path of the running request, as normalizePath() returns it.
    const std::string &path() const;

    /// Query of the running request, without the '?'.
    std::string_view query() const;

    /// Path of the running request as the caller sent it, without the query.
    std::string_view rawPath() const;

    /// Answers the running request. closeAfterwards also closes the connection once the answer is sent.
    void answer(const http_answer &reply, bool closeAfterwards);

    /// Whether a request is running or partly received, bytes are unread, an answer isn't written to the socket yet, or
    /// the connection is being closed.
    bool busy() const;

    /// Whether a request was passed to onRequest and not answered yet.
    bool running() const;

    /// Closes the connection now if it isn't busy(), otherwise after the present request is answered.
    void closeWhenIdle();

    /// Socket of the connection, which keeps ownership.
    int descriptor() const;

    exchange_id currentExchange; ///< Number that the owner assigned to the running request.

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
    void giveUpMessage();
    std::size_t unsentBytes() const;

    loop &m_loop; ///< Not owned.
    const connection_limits &m_limits; ///< Not owned.
    connection_callbacks m_callbacks;
    bufferevent *m_socket; ///< Owned.
    message_parser m_parser; ///< Parser of requests.
    memory_share m_memory; ///< Memory of the request that is being received and of the answers that aren't sent.
    timer m_timer; ///< Limits the time for idling, receiving, sending and lingering.
    phase m_phase = phase::Reading; ///< Current state of the connection.
    bool m_processing = false; ///< Whether process() is on the call stack.
    bool m_closing = false; ///< No further request is read once the present one is answered.
    bool m_peerClosed = false; ///< The caller closed or reset the connection.
    bool m_continueSent = false; ///< Whether 100 Continue was sent for the present request.
    instant m_requestStartedAt{}; ///< When the first byte of the present request was received.
    std::vector<header_view> m_fields; ///< See fields().
    std::string m_host; ///< See host().
    std::string m_path; ///< See path().
};

} // namespace guavafront
