#pragma once

#include "daemon/metrics/daemon_counters.h"
#include "daemon/metrics/metrics_message.h"
#include "http/http_server.h"
#include "runtime/mailbox.h"

namespace guavafront
{

/// Settings of the metrics task.
struct metrics_task_options {
    http_server_options server; ///< Listener for the load balancer and the metrics collector.
    std::string readyPath = "/ready"; ///< Path at which the load balancer asks whether to send callers here.
    bool ready = false; ///< Answer of the ready path until the first readiness_changed.
};

/// Serves /metrics for the metrics collector, and /live and the ready path for the load balancer. Starts as the first
/// task and stops as the last one.
class metrics_task
{
public:
    /// Starts to listen and to handle the messages of inbox. Throws coordination_error (SettingInvalid) if the address
    /// can't be used.
    metrics_task(loop &owner, metrics_task_options options, mailbox<metrics_message> &inbox, daemon_counters &counters);

private:
    void receive(exchange_id id, const http_request &request);
    http_answer answerFor(const http_request &request);

    daemon_counters &m_counters; ///< Daemon's counters; not owned.
    std::string m_readyPath; ///< Path of the readiness check.
    bool m_ready; ///< Current answer of the ready path.
    http_server m_server; ///< Connections of the load balancer and the metrics collector.
    mailbox_attachment<metrics_message> m_attachment;
};

} // namespace guavafront
