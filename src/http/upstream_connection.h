#pragma once

#include "http/message_memory.h"
#include "http/message_parser.h"
#include "runtime/loop.h"
#include "runtime/timer.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

struct bufferevent;
struct event;

namespace guavafront
{

/// Address, timeouts and size limits of an upstream_connection.
struct upstream_connection_options {
    std::string address = "127.0.0.1"; ///< IP address of the upstream instance.
    std::uint16_t port = 0; ///< Port of the upstream instance.
    duration connectTimeout = std::chrono::seconds(1); ///< Time to establish the connection.

    /// Time that sent bytes may stay unacknowledged before the kernel ends the connection (TCP_USER_TIMEOUT); 0 for the
    /// default of the system.
    duration unackedTimeout{};

    std::size_t headerLimitBytes = std::size_t{64} * 1024; ///< Largest status line with header fields of an answer.
    std::size_t bodyLimitBytes = std::size_t{8} * 1024 * 1024; ///< Largest body of an answer.

    /// Memory limit shared with other connections; null for none. Not owned, must outlive the connections.
    message_memory *memory = nullptr;
};

/// Request to an upstream. Its views need to be valid only during upstream_connection::send().
struct upstream_request {
    std::string_view method; ///< Method of RFC 9110 or PATCH, in upper case.
    std::string_view target; ///< Path and query.
    std::span<const header_view> headers; ///< Header fields with Host and without framing fields.
    std::span<const std::byte> body; ///< Complete body.

    /// Header field that the upstream repeats in its answer, used to match answers to requests. An answer whose field
    /// of this name has another value belongs to an earlier request and is skipped. On a reused connection an answer
    /// without the field might belong to an earlier request too and ends the request as AnswerIncomplete, unless the
    /// value here is empty. Nothing is checked when the name is empty.
    http_header echoed;

    duration timeout{}; ///< Time from send() to the complete answer.
};

/// How a request to an upstream ended.
enum class upstream_result : std::uint8_t {
    Answered, ///< The complete answer was received.
    ConnectFailed, ///< No connection was established, so no byte was sent.
    Closed, ///< The connection ended before the first byte of the answer.
    AnswerIncomplete, ///< The answer was truncated, malformed or too large, or can't be matched to the request.
    TimedOut, ///< The answer wasn't complete within the timeout.
    Cancelled, ///< cancel() was called.
};

/// Result of one request to an upstream.
struct upstream_outcome {
    upstream_result result = upstream_result::Closed; ///< How the request ended.
    bool mayHaveBeenSent = false; ///< Whether the upstream may have received any byte of the request.
    bool reusable = false; ///< Whether the connection can send another request.
    std::optional<instant> connectedAt; ///< When the connection was established, or send() on a reused connection.
    std::optional<instant> firstByteAt; ///< When the first byte of the answer was received.
    http_answer answer; ///< Valid when Answered; its headers are complete, as the upstream sent them.
};

/// TCP connection to an upstream, which carries one request at a time. Callbacks are called on the loop's thread, never
/// from within a call of a member function, and may destroy the connection.
class upstream_connection
{
public:
    /// The connection is established by the first send(). onClosed is called when the connection ends, or is closed
    /// because of unexpected bytes, while no request is running.
    upstream_connection(loop &owner, upstream_connection_options options, std::function<void()> onClosed);
    ~upstream_connection();
    upstream_connection(const upstream_connection &) = delete;
    upstream_connection &operator=(const upstream_connection &) = delete;

    /// Whether send() may be called: no request is running, the connection hasn't ended and there are no unread bytes.
    bool usable() const;

    /// Sends a request; usable() must be true. onOutcome is called exactly once, unless the connection is destroyed
    /// before.
    void send(const upstream_request &request, std::function<void(upstream_outcome)> onOutcome);

    /// Ends the running request with Cancelled and closes the connection. Does nothing when no request is running.
    void cancel();

private:
    struct event_deleter {
        void operator()(event *owned) const;
    };
    enum class phase : std::uint8_t { New, Running, Idle, Ended };

    void openSocket();
    void write(const upstream_request &request);
    void read();
    void handleAnswer();
    void skipAnswer();
    void handleSocketEvent(short events);
    void handlePeerClose(bool closedCleanly);
    void end(upstream_result result);
    void deliver();
    void close();
    bool answersEarlierRequest() const;
    bool lacksEchoedField() const;
    bool requestRunning() const;

    static void readCallback(bufferevent *socket, void *self);
    static void eventCallback(bufferevent *socket, short events, void *self);
    static void deliverCallback(int descriptor, short events, void *self);

    loop &m_loop; ///< Not owned.
    const upstream_connection_options m_options;
    const std::function<void()> m_onClosed; ///< Called when the connection ends while idle.
    bufferevent *m_socket = nullptr; ///< Owned; null while there is no connection.
    message_parser m_parser; ///< Parser of answers.
    /// Runs deliver() outside the socket's callbacks, because onOutcome may destroy the connection.
    std::unique_ptr<event, event_deleter> m_deliver;
    timer m_connectTimer; ///< Limits the time to establish the connection.
    timer m_answerTimer; ///< Limits the time of the running request.
    phase m_phase = phase::New; ///< Current state of the connection.
    bool m_earlierAnswerSeen = false; ///< An answer to an earlier request was received; the connection isn't reused.
    bool m_reused = false; ///< The connection carried another request before the running one.
    memory_share m_memory; ///< Memory of the answer that is being received.
    std::uint32_t m_skippedAnswers = 0; ///< Answers discarded since the running request was sent.
    bool m_isHeadRequest = false; ///< Whether the running request is a HEAD request.
    http_header m_echoed; ///< upstream_request::echoed of the running request.
    std::function<void(upstream_outcome)> m_onOutcome; ///< Callback of the running request.
    std::optional<upstream_outcome> m_outcome; ///< Outcome that deliver() will pass to m_onOutcome.
    upstream_outcome m_runningOutcome; ///< Outcome of the running request, as far as it is known.
};

} // namespace guavafront
