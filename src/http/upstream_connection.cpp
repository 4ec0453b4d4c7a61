#include "http/upstream_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <utility>

namespace guavafront
{

namespace
{

constexpr int firstFinalStatus = 200;
constexpr int switchingProtocols = 101;
constexpr std::uint32_t maxSkippedAnswers = 16; // Interim answers and answers to earlier requests, during one request.

/// Whether the upstream has neither closed the connection nor sent bytes that are still in the kernel's buffer.
bool hasNothingToRead(int descriptor)
{
    char unread = 0;
    return recv(descriptor, &unread, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// Whether the socket has a pending error, such as a reset by the upstream.
bool hasPendingError(int descriptor)
{
    int error = 0;
    socklen_t length = sizeof error;
    return getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0;
}

std::size_t bodyLimitOf(const upstream_connection_options &options)
{
    return options.memory ? std::min(options.bodyLimitBytes, options.memory->messageLimitBytes())
                          : options.bodyLimitBytes;
}

} // namespace

void upstream_connection::event_deleter::operator()(event *owned) const
{
    event_free(owned);
}

upstream_connection::upstream_connection(loop &owner, upstream_connection_options options,
                                         std::function<void()> onClosed)
    : m_loop(owner)
    , m_options(std::move(options))
    , m_onClosed(std::move(onClosed))
    , m_parser(HTTP_RESPONSE, {.headerBytes = m_options.headerLimitBytes, .bodyBytes = bodyLimitOf(m_options)}, {})
    , m_deliver(event_new(owner.base(), -1, 0, deliverCallback, this))
    , m_connectTimer(owner, [this] { end(upstream_result::ConnectFailed); })
    , m_answerTimer(owner, [this] { end(upstream_result::TimedOut); })
    , m_memory(m_options.memory, [this] { end(upstream_result::AnswerIncomplete); })
{
}

upstream_connection::~upstream_connection()
{
    close();
}

bool upstream_connection::requestRunning() const
{
    return m_phase == phase::Running && !m_outcome;
}

bool upstream_connection::usable() const
{
    if (m_phase == phase::Idle) {
        return evbuffer_get_length(bufferevent_get_input(m_socket)) == 0
               && hasNothingToRead(bufferevent_getfd(m_socket));
    }
    return m_phase == phase::New;
}

void upstream_connection::send(const upstream_request &request, std::function<void(upstream_outcome)> onOutcome)
{
    assert(m_phase == phase::New || m_phase == phase::Idle);
    m_runningOutcome = {};
    const bool isNew = m_phase == phase::New;
    m_reused = !isNew;
    m_skippedAnswers = 0;
    m_phase = phase::Running;
    m_onOutcome = std::move(onOutcome);
    m_isHeadRequest = request.method == "HEAD";
    m_echoed = request.echoed;
    m_parser.reset(m_isHeadRequest);
    m_answerTimer.arm(request.timeout);
    if (isNew) {
        m_connectTimer.arm(m_options.connectTimeout);
        openSocket();
    } else {
        m_runningOutcome.connectedAt = loop::now();
    }
    if (m_socket) {
        write(request);
    }
    m_runningOutcome.mayHaveBeenSent = !isNew && m_socket != nullptr;
}

void upstream_connection::openSocket()
{
    sockaddr_storage address{};
    int length = sizeof address;
    const bool addressValid =
        evutil_parse_sockaddr_port(m_options.address.c_str(), reinterpret_cast<sockaddr *>(&address), &length) == 0;
    if (address.ss_family == AF_INET6) {
        reinterpret_cast<sockaddr_in6 &>(address).sin6_port = htons(m_options.port);
    } else {
        reinterpret_cast<sockaddr_in &>(address).sin_port = htons(m_options.port);
    }
    m_socket = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(m_socket, readCallback, nullptr, eventCallback, this);
    if (!addressValid || bufferevent_socket_connect(m_socket, reinterpret_cast<sockaddr *>(&address), length) != 0) {
        if (requestRunning()) {
            end(upstream_result::ConnectFailed);
        }
        return;
    }
    const int on = 1;
    const int descriptor = bufferevent_getfd(m_socket);
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (m_options.unackedTimeout > duration::zero()) {
        const auto limitMs = static_cast<unsigned>(
            std::chrono::duration_cast<std::chrono::milliseconds>(m_options.unackedTimeout).count());
        setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &limitMs, sizeof limitMs);
    }
}

void upstream_connection::write(const upstream_request &request)
{
    std::string head;
    head.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    for (const header_view &field : request.headers) {
        head.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    const bool lengthNeeded = request.method != "GET" && request.method != "HEAD";
    if (lengthNeeded || !request.body.empty()) {
        head.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    }
    head.append("\r\n");
    head.append(textOf(request.body));
    bufferevent_enable(m_socket, EV_READ | EV_WRITE);
    bufferevent_write(m_socket, head.data(), head.size());
}

void upstream_connection::cancel()
{
    end(upstream_result::Cancelled);
}

void upstream_connection::readCallback(bufferevent * /*socket*/, void *self)
{
    auto *owner = static_cast<upstream_connection *>(self);
    owner->m_loop.guard([owner] { owner->read(); });
}

void upstream_connection::eventCallback(bufferevent * /*socket*/, short events, void *self)
{
    auto *owner = static_cast<upstream_connection *>(self);
    owner->m_loop.guard([owner, events] { owner->handleSocketEvent(events); });
}

void upstream_connection::handleSocketEvent(short events)
{
    if ((events & BEV_EVENT_CONNECTED) != 0) {
        m_runningOutcome.connectedAt = loop::now();
        // bufferevent writes the buffered request as soon as the socket is connected.
        m_runningOutcome.mayHaveBeenSent = true;
        m_connectTimer.cancel();
    } else if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        handlePeerClose((events & BEV_EVENT_EOF) != 0 && !hasPendingError(bufferevent_getfd(m_socket)));
    }
}

/// Handles the end of the connection; closedCleanly when the upstream closed it rather than reset it.
void upstream_connection::handlePeerClose(bool closedCleanly)
{
    if (m_phase == phase::Idle) {
        close();
        m_phase = phase::Ended;
        m_onClosed();
        return;
    }
    if (!requestRunning()) {
        return;
    }
    if (!m_runningOutcome.connectedAt) {
        end(upstream_result::ConnectFailed);
        return;
    }
    if (closedCleanly) {
        m_parser.finish();
    }
    if (m_parser.complete()) {
        handleAnswer();
    } else {
        end(m_runningOutcome.firstByteAt ? upstream_result::AnswerIncomplete : upstream_result::Closed);
    }
}

/// Whether the complete answer in the parser belongs to an earlier request, by the value of its echoed field.
bool upstream_connection::answersEarlierRequest() const
{
    if (m_echoed.name.empty()) {
        return false;
    }
    const std::vector<header_view> views = viewsOf(const_cast<message_parser &>(m_parser).message().headers);
    const std::string_view echo = headerValue(views, m_echoed.name);
    return echo.data() != nullptr && echo != m_echoed.value;
}

/// Whether the complete answer in the parser might belong to an earlier request on this connection, because it lacks
/// the echoed field that would tell.
bool upstream_connection::lacksEchoedField() const
{
    if (!m_reused || m_echoed.value.empty()) {
        return false;
    }
    const std::vector<header_view> views = viewsOf(const_cast<message_parser &>(m_parser).message().headers);
    return headerValue(views, m_echoed.name).data() == nullptr;
}

void upstream_connection::read()
{
    evbuffer *input = bufferevent_get_input(m_socket);
    if (m_phase == phase::Idle) { // No request is running, so these bytes can't answer one.
        close();
        m_phase = phase::Ended;
        m_onClosed();
        return;
    }
    while (requestRunning() && evbuffer_get_length(input) > 0) {
        const std::size_t available = evbuffer_get_contiguous_space(input);
        const auto *bytes =
            reinterpret_cast<const std::byte *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(available)));
        if (!m_runningOutcome.firstByteAt) {
            m_runningOutcome.firstByteAt = loop::now();
        }
        evbuffer_drain(input, m_parser.consume({bytes, available}));
        // The limit may end this request, or another one that holds more.
        if (m_parser.fault() != message_fault::None || !m_memory.hold(m_parser.message().body.capacity())) {
            end(upstream_result::AnswerIncomplete);
        } else if (m_parser.complete()) {
            handleAnswer();
        }
    }
}

void upstream_connection::handleAnswer()
{
    received_message &message = m_parser.message();
    if (message.status == switchingProtocols) { // Requests never offer a protocol switch, so 101 is invalid.
        end(upstream_result::AnswerIncomplete);
        return;
    }
    if (message.status < firstFinalStatus) {
        skipAnswer();
        return;
    }
    if (lacksEchoedField()) {
        end(upstream_result::AnswerIncomplete);
        return;
    }
    if (answersEarlierRequest()) {
        m_earlierAnswerSeen = true;
        m_runningOutcome.firstByteAt.reset();
        skipAnswer();
        return;
    }
    m_runningOutcome.answer = {
        .status = message.status, .headers = std::move(message.headers), .body = std::move(message.body)};
    m_runningOutcome.reusable = message.keepAlive && !m_earlierAnswerSeen;
    end(upstream_result::Answered);
}

/// Discards the answer in the parser, which isn't the final answer to the running request.
void upstream_connection::skipAnswer()
{
    m_parser.reset(m_isHeadRequest);
    if (++m_skippedAnswers > maxSkippedAnswers) {
        end(upstream_result::AnswerIncomplete);
    }
}

void upstream_connection::end(upstream_result result)
{
    if (!requestRunning()) {
        return;
    }
    m_connectTimer.cancel();
    m_answerTimer.cancel();
    m_memory.hold(0);
    m_runningOutcome.result = result;
    const bool left = m_runningOutcome.mayHaveBeenSent;
    if (result != upstream_result::Answered) {
        m_runningOutcome.reusable = false;
        m_parser.reset();
        close();
    }
    m_outcome = std::move(m_runningOutcome);
    m_outcome->mayHaveBeenSent = left;
    event_active(m_deliver.get(), 0, 0);
}

void upstream_connection::deliverCallback(int /*descriptor*/, short /*events*/, void *self)
{
    auto *owner = static_cast<upstream_connection *>(self);
    owner->m_loop.guard([owner] { owner->deliver(); });
}

void upstream_connection::deliver()
{
    upstream_outcome outcome = std::move(*m_outcome);
    m_outcome.reset();
    // Further bytes or the end of the connection may have arrived since end() was called.
    const bool nothingToRead = m_socket && evbuffer_get_length(bufferevent_get_input(m_socket)) == 0
                               && hasNothingToRead(bufferevent_getfd(m_socket));
    outcome.reusable = outcome.reusable && nothingToRead;
    m_phase = outcome.reusable ? phase::Idle : phase::Ended;
    if (!outcome.reusable) {
        close();
    }
    const std::function<void(upstream_outcome)> onOutcome = std::move(m_onOutcome);
    m_onOutcome = nullptr;
    onOutcome(std::move(outcome));
}

void upstream_connection::close()
{
    if (m_socket) {
        bufferevent_free(std::exchange(m_socket, nullptr));
    }
}

} // namespace guavafront
