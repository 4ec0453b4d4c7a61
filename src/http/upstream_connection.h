#pragma once

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

/// Memory that several connections share for the answers they are receiving.
struct answer_memory {
    std::size_t heldBytes = 0; ///< Of bodies that aren't whole yet.
    std::size_t limitBytes = std::size_t{8} * 1024 * 1024; ///< The body that goes over it ends its request.
};

/// Where an upstream listens and what is put up with.
struct upstream_connection_options {
    std::string address = "127.0.0.1"; ///< IP number.
    std::uint16_t port = 0; ///< Port.
    duration connectTimeout = std::chrono::seconds(1); ///< Time to establish the connection.
    duration
        unackedTimeout{}; ///< A socket whose bytes aren't acknowledged for so long has gone silent; 0 for the system's.
    std::size_t headerLimitBytes = std::size_t{64} * 1024; ///< Status line and header fields of an answer.
    std::size_t bodyLimitBytes = std::size_t{8} * 1024 * 1024; ///< Body of an answer.
    answer_memory *memory = nullptr; ///< Shared with other connections; not owned, outlives them. Unbounded without.
};

/// Request to an upstream as views; they need to live only during the call that takes it.
struct upstream_request {
    std::string_view method; ///< One of RFC 9110 or PATCH, in capitals.
    std::string_view target; ///< Path with query.
    std::span<const header_view> headers; ///< With Host, without framing.
    std::span<const std::byte> body; ///< The whole body.
    http_header echoed; ///< An answer whose field of this name has another value belongs to an earlier request; on a
                        ///< kept connection one without the field may. No check where the name is empty.
    duration timeout{}; ///< From now to the whole answer.
};

/// How a request to an upstream ended.
enum class upstream_result : std::uint8_t {
    Answered, ///< The whole answer is there.
    ConnectFailed, ///< No connection could be made; no byte left.
    Closed, ///< The connection ended before the first byte of an answer.
    AnswerIncomplete, ///< The answer was cut or malformed.
    TimedOut, ///< No whole answer in time.
    Cancelled, ///< cancel() was called.
};

/// End of one request to an upstream.
struct upstream_outcome {
    upstream_result result = upstream_result::Closed; ///< How it ended.
    bool mayHaveBeenSent = false; ///< Some byte of the request may have reached the upstream.
    bool reusable = false; ///< The connection may carry another request.
    std::optional<instant> connectedAt; ///< When the connection was there; none when it never was.
    std::optional<instant> firstByteAt; ///< When the first byte of an answer came.
    http_answer answer; ///< Set when Answered; its headers are as the upstream sent them.
};

/// One TCP connection to an upstream, which carries one request at a time. Callbacks come on the loop's thread, never
/// from within a call of the owner's, and may destroy the connection.
class upstream_connection
{
public:
    /// Connection that is established by the first request. onClosed is called when it ends while idle.
    upstream_connection(loop &owner, upstream_connection_options options, std::function<void()> onClosed);
    ~upstream_connection();
    upstream_connection(const upstream_connection &) = delete;
    upstream_connection &operator=(const upstream_connection &) = delete;

    /// Whether a request may be sent now: none is running and no byte or end of the connection is waiting unread.
    bool usable() const;

    /// Sends a request; usable() must have been true. onOutcome is called exactly once, unless this is destroyed.
    void send(const upstream_request &request, std::function<void(upstream_outcome)> onOutcome);

    /// Ends the running request, if any, and its connection; the outcome is Cancelled.
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
    bool reserveBodyMemory(std::size_t bytes);
    bool answersEarlierRequest() const;
    bool lacksEchoedField() const;
    bool requestRunning() const;

    static void readCallback(bufferevent *socket, void *self);
    static void eventCallback(bufferevent *socket, short events, void *self);
    static void deliverCallback(int descriptor, short events, void *self);

    loop &m_loop; ///< Not owned.
    const upstream_connection_options m_options; ///< As constructed.
    const std::function<void()> m_onClosed; ///< As constructed.
    bufferevent *m_socket = nullptr; ///< Owned.
    message_parser m_parser; ///< Of answers.
    std::unique_ptr<event, event_deleter> m_deliver; ///< Leaves the socket's callback before the owner is called.
    timer m_connectTimer; ///< Runs until the connection is there.
    timer m_answerTimer; ///< Runs until the outcome.
    phase m_phase = phase::New; ///< What the connection does.
    bool m_earlierAnswerSeen = false; ///< An answer to an earlier request came; the connection isn't used again.
    bool m_reused = false; ///< The connection carried other requests before the running one.
    std::size_t m_reservedBytes = 0; ///< Of this connection, in the shared memory.
    std::uint32_t m_skippedAnswers = 0; ///< Before the one that the running request awaits.
    bool m_isHeadRequest = false; ///< The running request is a HEAD.
    http_header m_echoed; ///< Of the running request.
    std::function<void(upstream_outcome)> m_onOutcome; ///< Owner of the running request.
    std::optional<upstream_outcome> m_outcome; ///< Waits for its delivery.
    upstream_outcome m_runningOutcome; ///< What is known of the running request.
};

} // namespace guavafront
