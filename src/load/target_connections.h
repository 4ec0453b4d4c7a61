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

/// Request of a load that waits for or has a connection.
struct pending_request {
    std::string_view method; ///< In capitals; the plan owns it.
    std::string_view target; ///< Path with query; the plan owns it.
    std::span<const http_header> headers; ///< Further header fields; the caller owns them.
    instant deadline; ///< No whole answer by then is a failure.
    std::function<void(const upstream_outcome &)> onEnd; ///< Called once.
};

/// Kept connections to one target. A request takes an idle one, opens a new one, or waits when all are busy.
class target_connections
{
public:
    /// No connection yet; at most maxConnections at once.
    target_connections(loop &owner, endpoint server, std::size_t maxConnections);
    target_connections(const target_connections &) = delete;
    target_connections &operator=(const target_connections &) = delete;

    /// Sends the request now or as soon as a connection is free.
    void send(pending_request request);

private:
    struct slot {
        std::unique_ptr<upstream_connection> connection; ///< Absent until first used and after it ended.
    };

    slot *acquireSlot();
    void start(slot &on, pending_request request);
    void finish(slot &on, const pending_request &request, const upstream_outcome &outcome);

    loop &m_loop; ///< Not owned.
    const endpoint m_server; ///< As constructed.
    const std::string m_host; ///< Host field.
    std::vector<std::unique_ptr<slot>> m_slots; ///< Grows up to the limit.
    const std::size_t m_maxConnections; ///< As constructed.
    std::vector<slot *> m_idle; ///< Free ones, the last used at the end.
    std::deque<pending_request> m_waiting; ///< In order of arrival.
};

} // namespace guavafront
