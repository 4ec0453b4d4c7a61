#pragma once

#include "daemon/metrics/daemon_counters.h"
#include "daemon/metrics/metrics_message.h"
#include "http/http_server.h"
#include "runtime/mailbox.h"

namespace guavafront
{

/// Serves /metrics, and /live and /ready for the balancer. It starts first and stops last.
class metrics_task
{
public:
    /// Listens and takes messages from inbox; ready is the answer of /ready until the first one. Throws
    /// coordination_error (SettingInvalid).
    metrics_task(loop &owner, http_server_options options, bool ready, mailbox<metrics_message> &inbox,
                 daemon_counters &counters);

private:
    void receive(exchange_id id, const http_request &request);
    http_answer answerFor(const http_request &request);

    daemon_counters &m_counters; ///< Not owned.
    bool m_ready; ///< As /ready answers.
    http_server m_server; ///< The balancer's and the collector's connections.
    mailbox_attachment<metrics_message> m_attachment; ///< To the inbox.
};

} // namespace guavafront
