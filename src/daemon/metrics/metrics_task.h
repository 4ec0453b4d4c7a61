#pragma once

#include "daemon/metrics/daemon_counters.h"
#include "daemon/metrics/metrics_message.h"
#include "http/http_server.h"
#include "runtime/mailbox.h"

namespace guavafront
{

/// Settings of the metrics task.
struct metrics_task_options {
    http_server_options server; ///< Where the balancer and the collector come in.
    std::string readyPath = "/ready"; ///< Path that tells the balancer whether callers may be sent here.
    bool ready = false; ///< Its answer until the first message.
};

/// Serves /metrics, and /live and the ready path for the balancer. It starts first and stops last.
class metrics_task
{
public:
    /// Listens and takes messages from inbox. Throws coordination_error (SettingInvalid).
    metrics_task(loop &owner, metrics_task_options options, mailbox<metrics_message> &inbox, daemon_counters &counters);

private:
    void receive(exchange_id id, const http_request &request);
    http_answer answerFor(const http_request &request);

    daemon_counters &m_counters; ///< Not owned.
    std::string m_readyPath; ///< As constructed.
    bool m_ready; ///< As the ready path answers.
    http_server m_server; ///< The balancer's and the collector's connections.
    mailbox_attachment<metrics_message> m_attachment; ///< To the inbox.
};

} // namespace guavafront
