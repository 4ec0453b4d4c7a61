#pragma once

#include "http/upstream_connection.h"
#include "runtime/loop.h"
#include "settings/endpoint.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace guavafront
{

/// Request that waits for a connection or has been sent on one.
struct pending_request {
    std::string_view method; ///< HTTP method in capitals; must stay valid until onEnd is called.
    std::string_view target; ///< Path with query; must stay valid until onEnd is called.
    std::span<const http_header> headers; ///< Header fields besides Host; must stay valid until onEnd is called.
    instant deadline; ///< The request fails unless it has a complete answer by then.
    std::function<void(const upstream_outcome &)> onEnd; ///< Called exactly once, when the request has ended.
};

/// Pool of persistent connections to one server. A request takes an idle connection, opens a new one, or waits in order
/// of arrival when the maximum number of connections is busy.
class target_connections
{
public:
    /// Opens no connection yet. At most maxConnections are open at once.
    target_connections(loop &owner, endpoint server, std::size_t maxConnections);
    target_connections(const target_connections &) = delete;
    target_connections &operator=(const target_connections &) = delete;

    /// Sends the request at once, or as soon as a connection is free.
    void send(pending_request request);

private:
    struct slot {
        std::unique_ptr<upstream_connection> connection; ///< Null before the first use and when not reusable.
    };

    slot *acquireSlot();
    void start(slot &on, pending_request request);
    void finish(slot &on, const pending_request &request, const upstream_outcome &outcome);

    loop &m_loop; ///< Event loop of the connections; not owned.
    const endpoint m_server; ///< Address of the server.
    const std::string m_host; ///< Value of the Host header field.
    std::vector<std::unique_ptr<slot>> m_slots; ///< All slots, busy and idle; at most m_maxConnections.
    const std::size_t m_maxConnections; ///< Maximum number of slots.
    std::vector<slot *> m_idle; ///< Slots without a request, the most recently used last.
    std::deque<pending_request> m_waiting; ///< Requests that wait for a slot, in order of arrival.
};

} // namespace guavafront
