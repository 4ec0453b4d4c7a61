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

/// Settings of the kept connections.
struct upstream_pool_options {
    duration connectTimeout = std::chrono::seconds(1); ///< Limit for a new connection.
    std::size_t bodyLimitBytes = std::size_t{1024} * 1024; ///< Body of one answer.
    std::size_t answerMemoryBytes = std::size_t{64} * 1024 * 1024; ///< Bodies of all answers that aren't whole yet.
    duration unackedTimeout{}; ///< A connection whose bytes aren't acknowledged for so long is lost; 0: the system's.
    std::size_t idlePerInstance = 32; ///< Idle connections kept for each instance.
};

/// Where a try goes.
struct upstream_target {
    instance_id instance; ///< Upstream instance.
    std::string_view ip; ///< Its IP number.
    std::uint16_t port = 0; ///< Its TCP port.
    duration silenceLimit{}; ///< Timeout of the request on a kept connection; 0 for the request's own.
};

/// Connections of one entry VM to upstream instances, one request on each at a time. Loop's thread only.
class upstream_pool
{
public:
    /// Pool without connections.
    upstream_pool(loop &owner, upstream_pool_options options);

    /// Sends a request over a kept or a new connection; onEnd is told the outcome and whether the connection was made
    /// for this request. The same id can't be under way twice.
    void send(exchange_id id, const upstream_target &target, const upstream_request &request,
              std::function<void(const upstream_outcome &outcome, bool newConnection)> onEnd);

    /// Gives up on a request: its connection is closed, its onEnd isn't called.
    void cancel(exchange_id id);

    /// Closes the idle connections to an instance that is gone.
    void closeIdle(instance_id instance);

    /// Idle connections to all instances.
    std::size_t idleConnections() const;

private:
    using connection_list = std::vector<std::unique_ptr<upstream_connection>>;

    struct running_request {
        instance_id instance; ///< Where it went.
        bool newConnection = false; ///< Made for it.
        std::unique_ptr<upstream_connection> connection; ///< Carries it.
        std::function<void(const upstream_outcome &, bool)> onEnd; ///< The owner's.
    };

    std::unique_ptr<upstream_connection> takeIdle(instance_id instance);
    std::unique_ptr<upstream_connection> open(const upstream_target &target);
    void end(exchange_id id, const upstream_outcome &outcome);
    void dropUnusable(instance_id instance);

    loop &m_loop; ///< Not owned.
    upstream_pool_options m_options; ///< As constructed.
    answer_memory m_answerMemory; ///< Of all connections, which it outlives.
    std::unordered_map<instance_id, connection_list> m_idle; ///< Most recently used last.
    std::unordered_map<exchange_id, running_request> m_running; ///< By request.
};

} // namespace guavafront
