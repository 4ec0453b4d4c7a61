#include "daemon/entry/upstream_pool.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace guavafront
{

upstream_pool::upstream_pool(loop &owner, upstream_pool_options options)
    : m_loop(owner)
    , m_options(options)
{
}

void upstream_pool::send(exchange_id id, const upstream_target &target, const upstream_request &request,
                         std::function<void(upstream_outcome, bool)> onEnd)
{
    running_request running{
        .instance = target.instance, .connection = takeIdle(target.instance), .onEnd = std::move(onEnd)};
    if (!running.connection) {
        running.newConnection = true;
        running.connection = open(target);
    }
    upstream_request limited = request;
    if (!running.newConnection && target.silenceLimit > duration::zero()) {
        limited.timeout = std::min(limited.timeout, target.silenceLimit);
    }
    const auto [place, isNew] = m_running.emplace(id, std::move(running));
    assert(isNew);
    place->second.connection->send(limited, [this, id](upstream_outcome outcome) { end(id, std::move(outcome)); });
}

void upstream_pool::cancel(exchange_id id)
{
    m_running.erase(id);
}

void upstream_pool::closeIdle(instance_id instance)
{
    m_idle.erase(instance);
}

std::size_t upstream_pool::idleConnections() const
{
    std::size_t count = 0;
    for (const auto &[instance, connections] : m_idle) {
        count += connections.size();
    }
    return count;
}

std::unique_ptr<upstream_connection> upstream_pool::takeIdle(instance_id instance)
{
    const auto found = m_idle.find(instance);
    if (found == m_idle.end()) {
        return nullptr;
    }
    connection_list &connections = found->second;
    while (!connections.empty()) {
        std::unique_ptr<upstream_connection> last = std::move(connections.back());
        connections.pop_back();
        if (last->usable()) {
            return last;
        }
    }
    return nullptr;
}

std::unique_ptr<upstream_connection> upstream_pool::open(const upstream_target &target)
{
    upstream_connection_options options{.address = std::string(target.ip), .port = target.port};
    options.connectTimeout = m_options.connectTimeout;
    options.unackedTimeout = m_options.unackedTimeout;
    options.bodyLimitBytes = m_options.bodyLimitBytes;
    options.memory = m_options.memory;
    return std::make_unique<upstream_connection>(m_loop, options,
                                                 [this, instance = target.instance] { dropUnusable(instance); });
}

void upstream_pool::end(exchange_id id, upstream_outcome outcome)
{
    const auto found = m_running.find(id);
    assert(found != m_running.end());
    running_request ended = std::move(found->second);
    m_running.erase(found);
    if (outcome.reusable) {
        connection_list &idle = m_idle[ended.instance];
        if (idle.size() < m_options.idlePerInstance) {
            idle.push_back(std::move(ended.connection));
        }
    }
    ended.onEnd(std::move(outcome), ended.newConnection);
}

void upstream_pool::dropUnusable(instance_id instance)
{
    if (const auto found = m_idle.find(instance); found != m_idle.end()) {
        std::erase_if(found->second, [](const auto &connection) { return !connection->usable(); });
    }
}

} // namespace guavafront
