#include "http/http_server.h"

#include "http/message_check.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>
#include <utility>

namespace guavafront
{

namespace
{

constexpr duration houseKeepingPeriod = std::chrono::milliseconds(100);
constexpr int listenQueueLength = 1024;
constexpr std::uint16_t allMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT
                                     | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

std::string_view methodName(evhttp_cmd_type command)
{
    switch (command) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_OPTIONS:
        return "OPTIONS";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return {};
    }
}

struct event_deleter {
    void operator()(event *owned) const
    {
        event_free(owned);
    }
};

/// The IPv4 or IPv6 address and port as the system's structure, with its length.
std::pair<sockaddr_storage, int> socketAddress(const http_server_options &options)
{
    sockaddr_storage storage{};
    int length = sizeof storage;
    if (evutil_parse_sockaddr_port(options.address.c_str(), reinterpret_cast<sockaddr *>(&storage), &length) != 0) {
        throw coordination_error(result_code::SettingInvalid, options.address + " is no IP number");
    }
    if (storage.ss_family == AF_INET6) {
        reinterpret_cast<sockaddr_in6 &>(storage).sin6_port = htons(options.port);
    } else {
        reinterpret_cast<sockaddr_in &>(storage).sin_port = htons(options.port);
    }
    return {storage, length};
}

std::uint16_t boundPort(int descriptor)
{
    sockaddr_storage storage{};
    socklen_t length = sizeof storage;
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&storage), &length);
    if (storage.ss_family == AF_INET6) {
        return ntohs(reinterpret_cast<const sockaddr_in6 &>(storage).sin6_port);
    }
    return ntohs(reinterpret_cast<const sockaddr_in &>(storage).sin_port);
}

std::vector<header_view> readHeaders(evhttp_request *received)
{
    std::vector<header_view> views;
    const evkeyvalq *fields = evhttp_request_get_input_headers(received);
    for (const evkeyval *field = fields->tqh_first; field; field = field->next.tqe_next) {
        views.push_back({.name = field->key, .value = field->value});
    }
    return views;
}

/// The buffer's bytes in one piece; they live as long as the buffer stays unchanged.
std::span<const std::byte> contiguous(evbuffer *buffer)
{
    const std::size_t length = evbuffer_get_length(buffer);
    return {reinterpret_cast<const std::byte *>(evbuffer_pullup(buffer, -1)), length};
}

} // namespace

/// Request that is with the handler.
struct http_server::exchange {
    http_server *server; ///< Owner.
    exchange_id id; ///< Number given to the handler.
    evhttp_request *received; ///< Owned by evhttp; valid until answered or the caller has gone.
    std::string host; ///< Normalized.
    std::string path; ///< Normalized.
    std::vector<header_view> headers; ///< Views into received.
    std::unique_ptr<event, event_deleter> callerWatch; ///< Fires when the caller closes.
};

void http_server::http_deleter::operator()(evhttp *owned) const
{
    evhttp_free(owned);
}

http_server::http_server(loop &owner, http_server_options options, http_handler handler)
    : m_loop(owner)
    , m_options(std::move(options))
    , m_handler(std::move(handler))
    , m_http(evhttp_new(owner.base()))
    , m_houseKeeping(owner, [this] { houseKeep(); })
{
    evhttp_set_max_headers_size(m_http.get(), static_cast<ev_ssize_t>(m_options.headerLimitBytes));
    evhttp_set_max_body_size(m_http.get(), static_cast<ev_ssize_t>(m_options.bodyLimitBytes));
    evhttp_set_default_content_type(m_http.get(), nullptr);
    evhttp_set_allowed_methods(m_http.get(), allMethods);
    constexpr std::int64_t microsecondsPerSecond = 1'000'000;
    const std::int64_t idle = m_options.idleTimeout.count();
    const timeval timeout{.tv_sec = idle / microsecondsPerSecond, .tv_usec = idle % microsecondsPerSecond};
    evhttp_set_timeout_tv(m_http.get(), &timeout);
    evhttp_set_bevcb(m_http.get(), connectionCallback, this);
    evhttp_set_gencb(m_http.get(), requestCallback, this);
    listen();
    m_houseKeeping.arm(houseKeepingPeriod);
}

http_server::~http_server() = default;

void http_server::listen()
{
    const auto [address, length] = socketAddress(m_options);
    unsigned flags = LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE;
    if (m_options.reusePort) {
        flags |= LEV_OPT_REUSEABLE_PORT;
    }
    evconnlistener *listener = evconnlistener_new_bind(m_loop.base(), nullptr, nullptr, flags, listenQueueLength,
                                                       reinterpret_cast<const sockaddr *>(&address), length);
    if (!listener) {
        throw coordination_error(result_code::SettingInvalid,
                                 "can't listen on " + m_options.address + ':' + std::to_string(m_options.port));
    }
    m_listener = evhttp_bind_listener(m_http.get(), listener);
    m_port = boundPort(evconnlistener_get_fd(listener));
}

std::uint16_t http_server::port() const
{
    return m_port;
}

std::size_t http_server::runningRequests() const
{
    return m_exchanges.size();
}

std::size_t http_server::connections() const
{
    return m_connections.size();
}

std::uint64_t http_server::malformedRequests() const
{
    return m_malformed;
}

bufferevent *http_server::connectionCallback(event_base *base, void *self)
{
    auto *server = static_cast<http_server *>(self);
    bufferevent *connection = server->m_connections.add(base);
    if (server->m_connections.size() >= server->m_options.connectionLimit) {
        server->m_listenerPaused = true;
        evconnlistener_disable(evhttp_bound_socket_get_listener(server->m_listener));
    }
    return connection;
}

void http_server::requestCallback(evhttp_request *received, void *self)
{
    auto *server = static_cast<http_server *>(self);
    server->m_loop.guard([server, received] { server->receive(received); });
}

void http_server::receive(evhttp_request *received)
{
    bufferevent *connection = evhttp_connection_get_bufferevent(evhttp_request_get_connection(received));
    const bool clean = m_connections.requestReceived(connection);
    evhttp_request_set_on_complete_cb(received, answeredCallback, this);
    const evhttp_uri *target = evhttp_request_get_evhttp_uri(received);
    auto opened = std::make_unique<exchange>();
    opened->headers = readHeaders(received);
    const char *path = target ? evhttp_uri_get_path(target) : nullptr;
    const char *authority = target ? evhttp_uri_get_host(target) : nullptr;
    if (!clean || !target || !path || !targetWellFormed(evhttp_request_get_uri(received))
        || !fieldsWellFormed(opened->headers) || !framingWellFormed(opened->headers)
        || !hostWellFormed(opened->headers)) {
        refuseMalformed(received);
        return;
    }
    const std::optional<std::string> normal = normalizePath(*path == '\0' ? "/" : path);
    if (!normal) {
        refuseMalformed(received);
        return;
    }
    opened->path = *normal;
    opened->host = normalizeHost(authority ? std::string_view(authority) : headerValue(opened->headers, "Host"));
    dispatch(received, std::move(opened));
}

void http_server::refuseMalformed(evhttp_request *received)
{
    ++m_malformed;
    evhttp_add_header(evhttp_request_get_output_headers(received), "Connection", "close");
    evhttp_send_reply(received, describe(result_code::RequestMalformed).httpStatus, nullptr, nullptr);
}

void http_server::dispatch(evhttp_request *received, std::unique_ptr<exchange> opened)
{
    exchange &current = *opened;
    current.server = this;
    current.id = {++m_lastExchange};
    current.received = received;
    watchCaller(current);
    m_exchanges.emplace(current.id, std::move(opened));
    const char *query = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(received));
    const http_request request{
        .method = methodName(evhttp_request_get_command(received)),
        .host = current.host,
        .path = current.path,
        .query = query ? std::string_view(query) : std::string_view(),
        .headers = current.headers,
        .body = contiguous(evhttp_request_get_input_buffer(received)),
    };
    m_handler.onRequest(current.id, request);
}

void http_server::watchCaller(exchange &opened)
{
    // evhttp doesn't read while a request runs, so it wouldn't notice.
    evhttp_connection *connection = evhttp_request_get_connection(opened.received);
    const int descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    opened.callerWatch.reset(event_new(m_loop.base(), descriptor, EV_CLOSED, callerGoneCallback, &opened));
    event_add(opened.callerWatch.get(), nullptr);
}

void http_server::callerGoneCallback(int /*descriptor*/, short /*events*/, void *opened)
{
    auto *current = static_cast<exchange *>(opened);
    http_server *server = current->server;
    server->m_loop.guard([server, id = current->id] { server->callerGone(id); });
}

void http_server::callerGone(exchange_id id)
{
    const auto node = m_exchanges.extract(id);
    node.mapped()->callerWatch.reset();
    m_handler.onCallerGone(id);
    evhttp_connection_free(evhttp_request_get_connection(node.mapped()->received));
}

bool http_server::answer(exchange_id id, const http_answer &reply)
{
    const auto node = m_exchanges.extract(id);
    if (node.empty()) {
        return false;
    }
    node.mapped()->callerWatch.reset();
    send(node.mapped()->received, reply);
    return true;
}

int http_server::callerDescriptor(exchange_id id) const
{
    const auto found = m_exchanges.find(id);
    if (found == m_exchanges.end()) {
        return -1;
    }
    evhttp_connection *connection = evhttp_request_get_connection(found->second->received);
    return bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
}

void http_server::send(evhttp_request *received, const http_answer &reply)
{
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    evkeyvalq *fields = evhttp_request_get_output_headers(received);
    for (const http_header &field : reply.headers) {
        evhttp_add_header(fields, field.name.c_str(), field.value.c_str());
    }
    const bool head = evhttp_request_get_command(received) == EVHTTP_REQ_HEAD;
    const bool bodyAllowed = !head && reply.status != noContent && reply.status != notModified;
    if (bodyAllowed) {
        evhttp_add_header(fields, "Content-Length", std::to_string(reply.body.size()).c_str());
        evbuffer_add(evhttp_request_get_output_buffer(received), reply.body.data(), reply.body.size());
    }
    if (m_stopping) {
        evhttp_add_header(fields, "Connection", "close");
    }
    evhttp_send_reply(received, reply.status, nullptr, nullptr);
}

void http_server::answeredCallback(evhttp_request *answered, void *self)
{
    auto *server = static_cast<http_server *>(self);
    evhttp_connection *connection = evhttp_request_get_connection(answered);
    if (connection) {
        server->m_connections.requestAnswered(evhttp_connection_get_bufferevent(connection));
    }
}

void http_server::stop(duration idleGrace, std::function<void()> onStopped)
{
    m_stopping = true;
    m_closeIdleAt = loop::now() + idleGrace;
    m_onStopped = std::move(onStopped);
    if (m_listener) {
        evhttp_del_accept_socket(m_http.get(), std::exchange(m_listener, nullptr));
    }
    m_houseKeeping.arm(duration::zero());
}

void http_server::houseKeep()
{
    m_connections.forgetClosed();
    m_connections.closeSlowSenders(loop::now() - m_options.receiveTimeout);
    if (m_listenerPaused && m_listener && m_connections.size() < m_options.connectionLimit) {
        m_listenerPaused = false;
        evconnlistener_enable(evhttp_bound_socket_get_listener(m_listener));
    }
    m_houseKeeping.arm(houseKeepingPeriod);
    if (m_stopping && loop::now() >= m_closeIdleAt) {
        finishStop();
    }
}

void http_server::finishStop()
{
    m_connections.closeIdle();
    if (m_connections.busy() == 0 && m_exchanges.empty() && m_onStopped) {
        std::exchange(m_onStopped, nullptr)();
    }
}

} // namespace guavafront
