#pragma once

#include "http/upstream_connection.h"
#include "runtime/loop.h"

#include <guavafront/coordination/core/identifiers.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace guavafront
{

/// Settings of the connections to upstream instances.
struct upstream_pool_options {
    duration connectTimeout = std::chrono::seconds(1); ///< Time to establish a new connection.
    std::size_t bodyLimitBytes = std::size_t{1024} * 1024; ///< Largest body of one answer.
    message_memory *memory = nullptr; ///< Memory for answers that are being received; null for no limit, not owned.
    /// A connection whose sent bytes stay unacknowledged for this long counts as lost; 0 for the system's default.
    duration unackedTimeout{};
    std::size_t idlePerInstance = 32; ///< Largest number of idle connections to each instance.
};

/// Destination of an attempt.
struct upstream_target {
    instance_id instance; ///< Upstream instance.
    std::string_view ip; ///< IP address of the instance.
    std::uint16_t port = 0; ///< TCP port of the instance.
    duration silenceLimit{}; ///< Upper bound of the request's timeout on a reused connection; 0 for none.
};

/// Connections of one entry VM to upstream instances. Each connection carries one request at a time. Use the pool on
/// the loop's thread only.
class upstream_pool
{
public:
    /// Creates a pool without connections.
    upstream_pool(loop &owner, upstream_pool_options options);

    /// Sends a request over an idle connection, or over a new one if there is none. onEnd gets the outcome and whether
    /// the connection was opened for this request. No other request with the same id may be running.
    void send(exchange_id id, const upstream_target &target, const upstream_request &request,
              std::function<void(upstream_outcome outcome, bool newConnection)> onEnd);

    /// Cancels a request: closes its connection and doesn't call its onEnd. Does nothing when no such request is
    /// running.
    void cancel(exchange_id id);

    /// Closes the idle connections to an instance, for example because it is gone.
    void closeIdle(instance_id instance);

    /// Returns the number of idle connections to all instances.
    std::size_t idleConnections() const;

private:
    using connection_list = std::vector<std::unique_ptr<upstream_connection>>;

    struct running_request {
        instance_id instance; ///< Instance that the request was sent to.
        bool newConnection = false; ///< The connection was opened for this request.
        std::unique_ptr<upstream_connection> connection; ///< Connection that carries the request.
        std::function<void(upstream_outcome, bool)> onEnd; ///< Called with the outcome.
    };

    std::unique_ptr<upstream_connection> takeIdle(instance_id instance);
    std::unique_ptr<upstream_connection> open(const upstream_target &target);
    void end(exchange_id id, upstream_outcome outcome);
    void dropUnusable(instance_id instance);

    loop &m_loop; ///< Loop that runs the connections; not owned.
    upstream_pool_options m_options; ///< Settings given to the constructor.
    std::unordered_map<instance_id, connection_list> m_idle; ///< Idle connections, the most recently used last.
    std::unordered_map<exchange_id, running_request> m_running; ///< Running requests, by id.
};

} // namespace guavafront
