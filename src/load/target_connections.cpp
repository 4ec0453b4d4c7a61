#include "load/target_connections.h"

#include <utility>

namespace guavafront
{

target_connections::target_connections(loop &owner, endpoint server, std::size_t maxConnections)
    : m_loop(owner)
    , m_server(std::move(server))
    , m_host(toText(m_server))
    , m_maxConnections(maxConnections)
{
}

void target_connections::send(pending_request request)
{
    if (slot *free = acquireSlot()) {
        start(*free, std::move(request));
    } else {
        m_waiting.push_back(std::move(request));
    }
}

target_connections::slot *target_connections::acquireSlot()
{
    if (!m_idle.empty()) {
        slot *last = m_idle.back();
        m_idle.pop_back();
        return last;
    }
    if (m_slots.size() >= m_maxConnections) {
        return nullptr;
    }
    return m_slots.emplace_back(std::make_unique<slot>()).get();
}

void target_connections::start(slot &on, pending_request request)
{
    if (!on.connection || !on.connection->usable()) {
        on.connection = std::make_unique<upstream_connection>(
            m_loop, upstream_connection_options{.address = m_server.ip, .port = m_server.port},
            [] {}); // Nothing to do when an idle connection closes: the next request finds it unusable and replaces it.
    }
    std::vector<header_view> headers{{.name = "Host", .value = m_host}};
    for (const http_header &field : request.headers) {
        headers.push_back({.name = field.name, .value = field.value});
    }
    const upstream_request sent{.method = request.method,
                                .target = request.target,
                                .headers = headers,
                                .body = {},
                                .timeout = std::max(request.deadline - loop::now(), duration(1))};
    on.connection->send(sent, [this, &on, request = std::move(request)](const upstream_outcome &outcome) {
        finish(on, request, outcome);
    });
}

void target_connections::finish(slot &on, const pending_request &request, const upstream_outcome &outcome)
{
    if (!outcome.reusable) {
        on.connection.reset();
    }
    if (m_waiting.empty()) {
        m_idle.push_back(&on);
    } else {
        pending_request next = std::move(m_waiting.front());
        m_waiting.pop_front();
        start(on, std::move(next));
    }
    request.onEnd(outcome);
}

} // namespace guavafront
