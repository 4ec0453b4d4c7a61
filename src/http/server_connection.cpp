#include "http/server_connection.h"

#include "http/message_check.h"
#include "http/status_text.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace guavafront
{

namespace
{

constexpr std::size_t readAheadBytes = std::size_t{64} * 1024; // Unread bytes buffered of pipelined requests.

/// Time for which a connection reads and discards bytes after its last answer. Closing the socket with unread bytes
/// would reset the connection, and the caller might lose the answer.
constexpr duration lingerLimit = std::chrono::seconds(2);

constexpr std::array<std::string_view, 7> knownMethods{"GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH"};
constexpr int statusTimeout = 408;
constexpr int statusBadRequest = 400;
constexpr int statusBodyTooLarge = 413;
constexpr int statusHeaderTooLarge = 431;
constexpr int statusNotImplemented = 501;
constexpr int statusUnavailable = 503;
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

message_limits messageLimitsOf(const connection_limits &limits)
{
    message_limits result = limits.message;
    if (limits.memory) {
        result.bodyBytes = std::min(result.bodyBytes, limits.memory->messageLimitBytes());
    }
    return result;
}

} // namespace

server_connection::server_connection(loop &owner, int descriptor, const connection_limits &limits,
                                     connection_callbacks callbacks)
    : m_loop(owner)
    , m_limits(limits)
    , m_callbacks(std::move(callbacks))
    , m_socket(bufferevent_socket_new(owner.base(), descriptor, BEV_OPT_CLOSE_ON_FREE))
    , m_parser(HTTP_REQUEST, messageLimitsOf(limits),
               [this](const received_message &head) { return handleHeaders(head); })
    , m_memory(limits.memory, [this] { giveUpMessage(); })
    , m_timer(owner, [this] { handleTimeout(); })
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    bufferevent_setcb(m_socket, readCallback, writeCallback, eventCallback, this);
    bufferevent_setwatermark(m_socket, EV_READ, 0, readAheadBytes);
    bufferevent_enable(m_socket, EV_READ | EV_WRITE);
    m_timer.arm(m_limits.idleTimeout);
}

server_connection::~server_connection()
{
    bufferevent_free(m_socket);
}

received_message &server_connection::request()
{
    return m_parser.message();
}

std::span<const header_view> server_connection::fields() const
{
    return m_fields;
}

const std::string &server_connection::host() const
{
    return m_host;
}

const std::string &server_connection::path() const
{
    return m_path;
}

std::string_view server_connection::query() const
{
    const std::string_view target = const_cast<message_parser &>(m_parser).message().target;
    const std::size_t mark = target.find('?');
    return mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
}

std::string_view server_connection::rawPath() const
{
    return pathOf(const_cast<message_parser &>(m_parser).message().target);
}

int server_connection::descriptor() const
{
    return bufferevent_getfd(m_socket);
}

bool server_connection::running() const
{
    return m_phase == phase::Running;
}

bool server_connection::busy() const
{
    return m_phase == phase::Running || m_phase == phase::Lingering || m_parser.started()
           || evbuffer_get_length(bufferevent_get_input(m_socket)) > 0
           || evbuffer_get_length(bufferevent_get_output(m_socket)) > 0;
}

void server_connection::closeWhenIdle()
{
    m_closing = true;
    if (!busy()) {
        end();
    }
}

void server_connection::readCallback(bufferevent * /*socket*/, void *self)
{
    auto *connection = static_cast<server_connection *>(self);
    connection->m_loop.guard([connection] { connection->process(); });
}

void server_connection::writeCallback(bufferevent * /*socket*/, void *self)
{
    auto *connection = static_cast<server_connection *>(self);
    connection->m_loop.guard([connection] { connection->handleFlushed(); });
}

void server_connection::eventCallback(bufferevent * /*socket*/, short events, void *self)
{
    auto *connection = static_cast<server_connection *>(self);
    connection->m_loop.guard([connection, events] {
        if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
            return;
        }
        connection->m_peerClosed = true;
        if (connection->m_phase == phase::Running) {
            connection->m_callbacks.onCallerGone(*connection);
        }
        connection->end();
    });
}

void server_connection::process()
{
    if (m_processing) {
        return; // onRequest may answer at once, and answer() calls process(); the outer call continues.
    }
    m_processing = true;
    while (processInput()) {
    }
    m_processing = false;
}

/// Processes the next part of the input; returns whether to call it again.
bool server_connection::processInput()
{
    evbuffer *input = bufferevent_get_input(m_socket);
    if (m_phase == phase::Lingering) {
        evbuffer_drain(input, evbuffer_get_length(input));
        return false;
    }
    if (m_phase != phase::Reading) {
        return false;
    }
    if (m_closing && !m_parser.started()) { // A partly received request is still completed.
        if (evbuffer_get_length(bufferevent_get_output(m_socket)) == 0) {
            linger();
        }
        return false;
    }
    const std::size_t available = evbuffer_get_contiguous_space(input);
    if (available == 0) {
        return false;
    }
    const bool wasStarted = m_parser.started();
    const bool hadHeaders = m_parser.headersReceived();
    const auto *bytes = reinterpret_cast<const std::byte *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(available)));
    evbuffer_drain(input, m_parser.consume({bytes, available}));
    if (!wasStarted && m_parser.started()) {
        m_requestStartedAt = loop::now();
    }
    if (m_parser.fault() != message_fault::None) {
        refuseFaultyRequest();
        return false;
    }
    const std::size_t heldBytes = m_parser.message().body.capacity() + unsentBytes();
    if (!m_memory.hold(heldBytes)) {
        return false;
    }
    if (m_parser.complete()) {
        m_memory.hold(heldBytes, false); // A request that runs can't be given up any more.
        m_phase = phase::Running;
        m_fields = viewsOf(m_parser.message().headers);
        m_timer.cancel();
        m_callbacks.onRequest(*this);
        return m_phase == phase::Reading;
    }
    if (wasStarted != m_parser.started() || hadHeaders != m_parser.headersReceived()) {
        armReadTimer();
    }
    return true;
}

void server_connection::armReadTimer()
{
    if (!m_parser.started()) {
        m_timer.arm(m_limits.idleTimeout);
        return;
    }
    const duration header = std::min(m_limits.headerTimeout, m_limits.receiveTimeout);
    m_timer.arm(m_requestStartedAt + (m_parser.headersReceived() ? m_limits.receiveTimeout : header) - loop::now());
}

bool server_connection::handleHeaders(const received_message &head)
{
    const std::vector<header_view> views = viewsOf(head.headers);
    std::string_view target = head.target;
    if (!targetWellFormed(target) || !hostWellFormed(views)) {
        return false;
    }
    std::string_view authority = headerValue(views, "Host");
    constexpr std::string_view scheme = "http://";
    std::string_view path = pathOf(target);
    if (target.starts_with(scheme)) { // RFC 9112 section 3.2.2: the authority of the target overrides Host.
        const std::string_view rest = target.substr(scheme.size());
        const std::size_t slash = std::min(rest.find('/'), rest.size());
        authority = rest.substr(0, slash);
        path = pathOf(slash < rest.size() ? rest.substr(slash) : std::string_view("/"));
    }
    const std::optional<std::string> normalizedPath = normalizePath(path);
    if (!normalizedPath) {
        return false;
    }
    m_path = *normalizedPath;
    m_host = normalizeHost(authority);
    if (sameFieldName(headerValue(views, "Expect"), "100-continue") && !m_continueSent) {
        m_continueSent = true;
        constexpr std::string_view continueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";
        bufferevent_write(m_socket, continueAnswer.data(), continueAnswer.size());
    }
    return true;
}

void server_connection::refuseFaultyRequest()
{
    const std::string &method = m_parser.message().method;
    const bool unknown = !method.empty() && std::ranges::find(knownMethods, method) == knownMethods.end();
    switch (m_parser.fault()) {
    case message_fault::HeaderTooLarge:
        refuse(statusHeaderTooLarge);
        break;
    case message_fault::BodyTooLarge:
        refuse(statusBodyTooLarge);
        break;
    case message_fault::None:
    case message_fault::Malformed:
        refuse(unknown ? statusNotImplemented : statusBadRequest);
        break;
    }
}

void server_connection::refuse(int status)
{
    m_callbacks.onMalformed();
    write({.status = status, .headers = {}, .body = {}}, true);
}

void server_connection::answer(const http_answer &reply, bool closeAfterwards)
{
    write(reply, closeAfterwards || m_closing || !m_parser.message().keepAlive);
    if (!m_processing && m_phase == phase::Reading) {
        process();
    }
}

void server_connection::write(const http_answer &reply, bool closeAfterwards)
{
    std::string head =
        "HTTP/1.1 " + std::to_string(reply.status) + ' ' + std::string(statusText(reply.status)) + "\r\n";
    for (const http_header &field : reply.headers) {
        head.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    const bool bodiless = reply.status == statusNoContent || reply.status == statusNotModified;
    if (!bodiless) {
        head.append("Content-Length: ").append(std::to_string(reply.body.size())).append("\r\n");
    }
    if (closeAfterwards) {
        head.append("Connection: close\r\n");
    }
    head.append("\r\n");
    bufferevent_write(m_socket, head.data(), head.size());
    if (!bodiless && m_parser.message().method != "HEAD" && !reply.body.empty()) {
        bufferevent_write(m_socket, reply.body.data(), reply.body.size());
    }
    m_parser.reset();
    m_memory.hold(unsentBytes());
    m_parser.setLimits(messageLimitsOf(m_limits));
    m_continueSent = false;
    m_closing = m_closing || closeAfterwards;
    m_phase = phase::Reading;
    m_timer.arm(m_limits.idleTimeout);
}

std::size_t server_connection::unsentBytes() const
{
    return evbuffer_get_length(bufferevent_get_output(m_socket));
}

/// Makes room for the messages of other connections: refuses the request that is being received, or closes the
/// connection to a caller that doesn't read its answers.
void server_connection::giveUpMessage()
{
    if (m_phase == phase::Reading && m_parser.started()) {
        m_callbacks.onMalformed();
        write({.status = statusUnavailable, .headers = {{"Retry-After", "1"}}, .body = {}}, true);
    } else {
        end();
    }
    m_memory.hold(0);
}

void server_connection::handleFlushed()
{
    if (m_phase == phase::Reading && !m_parser.started()) {
        m_memory.hold(0);
    }
    if (m_closing && m_phase == phase::Reading && !m_parser.started()) {
        linger();
    }
}

void server_connection::linger()
{
    if (m_peerClosed) {
        end();
        return;
    }
    m_phase = phase::Lingering;
    shutdown(descriptor(), SHUT_WR);
    m_timer.arm(lingerLimit);
    process();
}

void server_connection::handleTimeout()
{
    const bool partlyReceived = m_phase == phase::Reading && m_parser.started();
    if (partlyReceived) {
        refuse(statusTimeout); // The request is incomplete, so it hasn't run.
        return;
    }
    end();
}

void server_connection::end()
{
    if (m_phase == phase::Ended) {
        return;
    }
    m_phase = phase::Ended;
    m_timer.cancel();
    bufferevent_disable(m_socket, EV_READ | EV_WRITE);
    m_callbacks.onEnd(*this);
}

} // namespace guavafront
