#pragma once

#include "http/caller_request.h"
#include "http/message_memory.h"
#include "http/message_parser.h"
#include "runtime/loop.h"
#include "runtime/timer.h"

#include <guavafront/coordination/core/identifiers.h>

#include <deque>
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
    /// Time in which a caller must read some of the bytes that are sent to it.
    duration sendProgressTimeout = std::chrono::seconds(10);
    /// Memory limit shared with other connections; null for none. Not owned, must outlive the connections.
    message_memory *memory = nullptr;
};

class server_connection;

/// Callbacks of a server_connection, called on the loop's thread.
struct connection_callbacks {
    /// A well-formed request is complete. It stays valid until it is answered or its caller is gone.
    std::function<void(server_connection &, caller_request &)> onRequest;
    /// The caller disconnected, or was disconnected, while its request ran.
    std::function<void(const caller_request &)> onCallerGone;
    std::function<void(server_connection &)> onEnd; ///< The connection has ended; destroy it only after this returns.
    std::function<void()> onMalformed; ///< A request was refused and not passed to onRequest.
};

/// Connection of one caller. It keeps reading from the socket while requests run, so that it notices when the caller
/// disconnects. Requests with safe methods that the caller sends ahead run beside each other; the answers are written
/// in the order of the requests. All members must be called on the loop's thread.
class server_connection
{
public:
    /// Takes ownership of a connected socket. limits must outlive the connection.
    server_connection(loop &owner, int descriptor, const connection_limits &limits, connection_callbacks callbacks);
    ~server_connection();
    server_connection(const server_connection &) = delete;
    server_connection &operator=(const server_connection &) = delete;

    /// Answers a running request. closeAfterwards also closes the connection once this answer and those to the requests
    /// that were started behind it are sent.
    void answer(caller_request &request, http_answer reply, bool closeAfterwards);

    /// Whether a request is running or partly received, bytes are unread, an answer isn't written to the socket yet, or
    /// the connection is being closed.
    bool busy() const;

    /// Closes the connection now if it isn't busy(), otherwise after the requests that were started are answered.
    void closeWhenIdle();

    /// Socket of the connection, which keeps ownership.
    int descriptor() const;

private:
    enum class phase : std::uint8_t { Open, Lingering, Ended };

    static void readCallback(bufferevent *socket, void *self);
    static void writeCallback(bufferevent *socket, void *self);
    static void eventCallback(bufferevent *socket, short events, void *self);
    void process();
    bool processInput();
    bool consumeInput();
    bool mayStartRequest() const;
    caller_request &takeRequest();
    bool handleHeaders(const received_message &head);
    void sendContinue();
    void refuseFaultyRequest();
    void refuse(http_answer reply);
    void writeReadyAnswers();
    void linger();
    void end();
    void handleTimeout();
    void armTimer();
    void handleFlushed();
    void giveUpMessage();
    bool holdMemory();
    std::size_t unsentBytes() const;

    loop &m_loop; ///< Not owned.
    const connection_limits &m_limits; ///< Not owned.
    connection_callbacks m_callbacks;
    bufferevent *m_socket; ///< Owned.
    message_parser m_parser; ///< Parser of requests.
    memory_share m_memory; ///< Memory of the requests and of the answers that aren't sent.
    timer m_timer; ///< Limits the time for idling, receiving, sending and lingering.
    std::deque<std::unique_ptr<caller_request>> m_requests; ///< Requests whose answers aren't written, oldest first.
    phase m_phase = phase::Open; ///< Current state of the connection.
    bool m_processing = false; ///< Whether process() is on the call stack.
    bool m_closing = false; ///< No further request is started once the present ones are answered.
    bool m_lastAnswerWritten = false; ///< An answer with Connection: close was written; nothing more is read.
    bool m_peerClosed = false; ///< The caller closed or reset the connection.
    bool m_continueWanted = false; ///< The request that is being received waits for 100 Continue.
    instant m_requestStartedAt{}; ///< When the first byte of the request that is being received came.
    std::size_t m_unsentAtTimer = 0; ///< Unsent bytes when m_timer was armed.
    std::string m_host; ///< Host of the request that is being received; see caller_request::host.
    std::string m_path; ///< Path of the request that is being received; see caller_request::path.
};

} // namespace guavafront
