#include "http/http_server.h"

#include "http/message_check.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <utility>

namespace guavafront
{

namespace
{

constexpr int listenQueueLength = 1024;

/// IPv4 or IPv6 address and port of the options as a socket address, with its length in bytes.
std::pair<sockaddr_storage, int> socketAddress(const http_server_options &options)
{
    sockaddr_storage storage{};
    int length = sizeof storage;
    if (evutil_parse_sockaddr_port(options.address.c_str(), reinterpret_cast<sockaddr *>(&storage), &length) != 0) {
        throw coordination_error(result_code::SettingInvalid, options.address + " is not an IP address");
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

connection_limits limitsOf(const http_server_options &options, message_memory &ownMemory)
{
    return {.message = {.headerBytes = options.headerLimitBytes, .bodyBytes = options.bodyLimitBytes},
            .idleTimeout = options.idleTimeout,
            .headerTimeout = options.headerTimeout,
            .receiveTimeout = options.receiveTimeout,
            .sendProgressTimeout = options.sendProgressTimeout,
            .memory = options.memory ? options.memory : &ownMemory};
}

} // namespace

void http_server::listener_deleter::operator()(evconnlistener *owned) const
{
    evconnlistener_free(owned);
}

void http_server::event_deleter::operator()(event *owned) const
{
    event_free(owned);
}

http_server::http_server(loop &owner, http_server_options options, http_handler handler)
    : m_loop(owner)
    , m_options(std::move(options))
    , m_handler(std::move(handler))
    , m_ownMemory(m_options.ownMemoryBytes)
    , m_limits(limitsOf(m_options, m_ownMemory))
    , m_destroyEvent(event_new(owner.base(), -1, 0, destroyCallback, this))
    , m_idleGrace(owner, [this] { closeIdle(); })
{
    listen();
}

http_server::~http_server() = default;

void http_server::listen()
{
    const auto [address, length] = socketAddress(m_options);
    unsigned flags = LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE;
    if (m_options.reusePort) {
        flags |= LEV_OPT_REUSEABLE_PORT;
    }
    m_listener.reset(evconnlistener_new_bind(m_loop.base(), acceptCallback, this, flags, listenQueueLength,
                                             reinterpret_cast<const sockaddr *>(&address), length));
    if (!m_listener) {
        throw coordination_error(result_code::SettingInvalid,
                                 "cannot listen on " + m_options.address + ':' + std::to_string(m_options.port));
    }
    m_port = boundPort(evconnlistener_get_fd(m_listener.get()));
}

void http_server::setLimits(const connection_limits &limits)
{
    m_limits = limits;
}

void http_server::announceClose()
{
    m_announceClose = true;
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

void http_server::acceptCallback(evconnlistener * /*listener*/, int descriptor, sockaddr * /*address*/, int /*length*/,
                                 void *self)
{
    auto *server = static_cast<http_server *>(self);
    server->m_loop.guard([server, descriptor] { server->accept(descriptor); });
}

void http_server::accept(int descriptor)
{
    auto accepted = std::make_unique<server_connection>(
        m_loop, descriptor, m_limits,
        connection_callbacks{
            .onRequest = [this](server_connection &from, caller_request &received) { handleRequest(from, received); },
            .onCallerGone =
                [this](const caller_request &abandoned) {
                    m_exchanges.erase(abandoned.id);
                    m_handler.onCallerGone(abandoned.id);
                },
            .onEnd = [this](server_connection &ended) { connectionEnded(ended); },
            .onMalformed =
                [this] {
                    ++m_malformed;
                }});
    server_connection *key = accepted.get();
    m_connections.emplace(key, std::move(accepted));
    if (m_connections.size() >= m_options.connectionLimit) {
        evconnlistener_disable(m_listener.get());
    }
}

void http_server::handleRequest(server_connection &from, caller_request &received)
{
    received.id = {++m_lastExchange};
    m_exchanges.emplace(received.id, running_request{&from, &received});
    const http_request request{
        .method = received.message.method,
        .host = received.host,
        .path = received.path,
        .query = received.query(),
        .rawPath = received.rawPath(),
        .headers = received.fields,
        .body = received.message.body,
    };
    m_handler.onRequest(received.id, request);
}

bool http_server::answer(exchange_id id, const http_answer &reply)
{
    const auto node = m_exchanges.extract(id);
    if (node.empty()) {
        return false;
    }
    node.mapped().connection->answer(*node.mapped().request, reply, m_announceClose);
    return true;
}

int http_server::callerDescriptor(exchange_id id) const
{
    const auto found = m_exchanges.find(id);
    return found == m_exchanges.end() ? -1 : found->second.connection->descriptor();
}

void http_server::stop(duration idleGrace, std::function<void()> onStopped)
{
    m_announceClose = true;
    m_onStopped = std::move(onStopped);
    m_listener.reset();
    m_idleGrace.arm(idleGrace);
}

void http_server::closeIdle()
{
    m_closingIdle = true;
    std::vector<server_connection *> openConnections;
    openConnections.reserve(m_connections.size());
    for (const auto &[connection, owned] : m_connections) {
        openConnections.push_back(connection);
    }
    for (server_connection *connection : openConnections) {
        connection->closeWhenIdle();
    }
    event_active(m_destroyEvent.get(), 0, 0);
}

void http_server::connectionEnded(server_connection &ended)
{
    auto node = m_connections.extract(&ended);
    if (node.empty()) {
        return;
    }
    m_ended.push_back(std::move(node.mapped()));
    event_active(m_destroyEvent.get(), 0, 0);
}

void http_server::destroyCallback(int /*descriptor*/, short /*events*/, void *self)
{
    auto *server = static_cast<http_server *>(self);
    server->m_loop.guard([server] { server->destroyEnded(); });
}

void http_server::destroyEnded()
{
    m_ended.clear();
    if (m_listener && m_connections.size() < m_options.connectionLimit) {
        evconnlistener_enable(m_listener.get());
    }
    finishStopWhenDrained();
}

void http_server::finishStopWhenDrained()
{
    if (m_closingIdle && m_connections.empty() && m_exchanges.empty() && m_onStopped) {
        std::exchange(m_onStopped, nullptr)();
    }
}

} // namespace guavafront
