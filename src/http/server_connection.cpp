#include "http/server_connection.h"

#include "http/request_target.h"

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

/// Requests of one connection that run at the same time. Browsers and API clients send fewer ahead, and one caller
/// shouldn't take the slots of others.
constexpr std::size_t maxRunningRequests = 8;
/// Unsent bytes of answers from which on no further request of the connection is started.
constexpr std::size_t maxUnsentBytes = std::size_t{64} * 1024;

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
    armTimer();
}

server_connection::~server_connection()
{
    bufferevent_free(m_socket);
}

int server_connection::descriptor() const
{
    return bufferevent_getfd(m_socket);
}

bool server_connection::busy() const
{
    return m_phase == phase::Lingering || !m_requests.empty() || m_parser.started()
           || evbuffer_get_length(bufferevent_get_input(m_socket)) > 0 || unsentBytes() > 0;
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
    // A partly received request is still completed while the connection closes, unless its last answer was written.
    const bool takesMore = !m_lastAnswerWritten && (!m_closing || m_parser.started());
    if (m_phase == phase::Open && !takesMore && m_requests.empty() && unsentBytes() == 0) {
        linger();
    }
    if (m_phase != phase::Open || !takesMore) {
        return false;
    }
    if (!m_requests.empty() && !m_requests.back()->message.keepAlive) {
        return false; // The caller said that the request is its last one.
    }
    if (!m_parser.complete()) {
        return consumeInput();
    }
    if (!mayStartRequest()) {
        return false; // answer() continues.
    }
    m_callbacks.onRequest(*this, takeRequest());
    return true;
}

/// Parses buffered bytes of the request that is being received; returns whether to call processInput() again.
bool server_connection::consumeInput()
{
    evbuffer *input = bufferevent_get_input(m_socket);
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
    sendContinue();
    if (!holdMemory()) {
        return false;
    }
    if (wasStarted != m_parser.started() || hadHeaders != m_parser.headersReceived()) {
        armTimer();
    }
    return true;
}

/// Whether the complete request in the parser may start now: alone, or beside others if all of them are safe.
bool server_connection::mayStartRequest() const
{
    if (m_requests.empty()) {
        return true;
    }
    const caller_request next{.message = {.method = const_cast<message_parser &>(m_parser).message().method}};
    const bool allSafe =
        next.isSafe() && std::ranges::all_of(m_requests, [](const auto &each) { return each->isSafe(); });
    return allSafe && !m_closing && m_requests.size() < maxRunningRequests && unsentBytes() <= maxUnsentBytes;
}

/// Moves the request in the parser to the end of m_requests.
caller_request &server_connection::takeRequest()
{
    auto taken = std::make_unique<caller_request>();
    taken->message = std::move(m_parser.message());
    taken->fields = viewsOf(taken->message.headers);
    taken->host = std::move(m_host);
    taken->path = std::move(m_path);
    m_requests.push_back(std::move(taken));
    m_parser.reset();
    m_parser.setLimits(messageLimitsOf(m_limits));
    m_continueWanted = false;
    holdMemory();
    armTimer();
    return *m_requests.back();
}

/// Arms the timer for what the connection waits for now. While requests run, only unsent answers limit its time.
void server_connection::armTimer()
{
    m_unsentAtTimer = unsentBytes();
    if (m_unsentAtTimer > 0) {
        m_timer.arm(m_limits.sendProgressTimeout);
    } else if (!m_requests.empty()) {
        m_timer.cancel();
    } else if (!m_parser.started()) {
        m_timer.arm(m_limits.idleTimeout);
    } else {
        const duration header = std::min(m_limits.headerTimeout, m_limits.receiveTimeout);
        m_timer.arm(m_requestStartedAt + (m_parser.headersReceived() ? m_limits.receiveTimeout : header) - loop::now());
    }
}

/// Counts the memory that the connection holds; returns whether it may keep it. Requests that run can't be given up.
bool server_connection::holdMemory()
{
    std::size_t held = m_parser.message().body.capacity() + unsentBytes();
    for (const auto &each : m_requests) {
        held += each->heldBytes();
    }
    return m_memory.hold(held, m_parser.started() || unsentBytes() > 0);
}

bool server_connection::handleHeaders(const received_message &head)
{
    const std::vector<header_view> views = viewsOf(head.headers);
    std::optional<request_target> target = parseRequestTarget(head.target, views);
    if (!target) {
        return false;
    }
    m_host = std::move(target->host);
    m_path = std::move(target->path);
    m_continueWanted = sameFieldName(headerValue(views, "Expect"), "100-continue");
    return true;
}

/// Sends 100 Continue if the request that is being received wants it, once earlier requests are answered: in between it
/// would belong to one of their answers.
void server_connection::sendContinue()
{
    if (m_continueWanted && m_requests.empty()) {
        m_continueWanted = false;
        constexpr std::string_view continueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";
        bufferevent_write(m_socket, continueAnswer.data(), continueAnswer.size());
    }
}

void server_connection::refuseFaultyRequest()
{
    const std::string &method = m_parser.message().method;
    const bool unknown = !method.empty() && std::ranges::find(knownMethods, method) == knownMethods.end();
    switch (m_parser.fault()) {
    case message_fault::HeaderTooLarge:
        refuse({.status = statusHeaderTooLarge});
        break;
    case message_fault::BodyTooLarge:
        refuse({.status = statusBodyTooLarge});
        break;
    case message_fault::None:
    case message_fault::Malformed:
        refuse({.status = unknown ? statusNotImplemented : statusBadRequest});
        break;
    }
}

/// Refuses the request that is being received, which isn't passed to onRequest, behind the answers to earlier requests.
void server_connection::refuse(http_answer reply)
{
    m_callbacks.onMalformed();
    m_closing = true;
    caller_request &refused = takeRequest();
    refused.message.body = {};
    refused.answer = ready_answer{std::move(reply), true};
    writeReadyAnswers();
}

void server_connection::answer(caller_request &request, http_answer reply, bool closeAfterwards)
{
    request.answer = ready_answer{std::move(reply), closeAfterwards};
    writeReadyAnswers();
    if (!m_processing && m_phase == phase::Open) {
        process();
    }
}

/// Writes the answers that are ready and whose predecessors are written. The last answer before the connection closes
/// is the one to the last request that was started, so that none of these ends without an answer.
void server_connection::writeReadyAnswers()
{
    while (!m_requests.empty() && m_requests.front()->answer) {
        const std::unique_ptr<caller_request> answered = std::move(m_requests.front());
        m_requests.pop_front();
        m_closing = m_closing || answered->answer->closeAfterwards || !answered->message.keepAlive;
        m_lastAnswerWritten = m_closing && m_requests.empty();
        const std::string text = encodeAnswer(answered->answer->reply, answered->message.method, m_lastAnswerWritten);
        bufferevent_write(m_socket, text.data(), text.size());
    }
    if (m_lastAnswerWritten && m_parser.started()) {
        m_parser.reset(); // What was sent behind the last answer counts as unread.
    }
    if (m_requests.empty()) {
        m_requestStartedAt = loop::now(); // The next request's time for receiving begins once it is the first one.
        sendContinue();
    }
    holdMemory();
    armTimer();
}

std::size_t server_connection::unsentBytes() const
{
    return evbuffer_get_length(bufferevent_get_output(m_socket));
}

/// Makes room for the messages of other connections: disconnects a caller that doesn't read its answers, or refuses the
/// request that is being received.
void server_connection::giveUpMessage()
{
    if (m_phase == phase::Open && m_parser.started() && unsentBytes() <= m_parser.message().body.capacity()) {
        refuse({.status = statusUnavailable, .headers = {{"Retry-After", "1"}}, .body = {}});
    } else {
        end();
    }
    m_memory.hold(0);
}

void server_connection::handleFlushed()
{
    holdMemory();
    if (m_phase == phase::Open) {
        armTimer();
        process();
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
    const bool open = m_phase == phase::Open;
    if (open && m_unsentAtTimer > 0 && unsentBytes() < m_unsentAtTimer) {
        armTimer(); // The caller reads slowly, but it reads.
    } else if (open && m_unsentAtTimer == 0 && m_requests.empty() && m_parser.started()) {
        refuse({.status = statusTimeout}); // The request is incomplete, so it hasn't run.
    } else {
        end();
    }
}

void server_connection::end()
{
    if (m_phase == phase::Ended) {
        return;
    }
    m_phase = phase::Ended;
    m_timer.cancel();
    bufferevent_disable(m_socket, EV_READ | EV_WRITE);
    for (const auto &each : m_requests) {
        if (!each->answer) {
            m_callbacks.onCallerGone(*each);
        }
    }
    m_callbacks.onEnd(*this);
}

} // namespace guavafront
