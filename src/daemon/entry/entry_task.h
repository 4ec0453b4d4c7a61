#pragma once

#include "daemon/configuration/configuration_message.h"
#include "daemon/entry/caller_dialect.h"
#include "daemon/entry/upstream_pool.h"
#include "daemon/log/decision_log.h"
#include "daemon/metrics/daemon_counters.h"
#include "daemon/metrics/metrics_message.h"
#include "daemon/operators/operators_message.h"
#include "daemon/peers/peers_message.h"
#include "http/http_server.h"
#include "runtime/mailbox.h"
#include "runtime/timer.h"

#include <guavafront/coordination/entry/entry.h>

#include <random>
#include <unordered_map>
#include <vector>

namespace guavafront
{

/// Settings of the entry task.
struct entry_task_options {
    entry_identity identity; ///< This VM.
    std::string vmName; ///< For logs.
    entry_policy policy; ///< Of its decisions.
    http_server_options server; ///< Where callers come in.
    upstream_pool_options pool; ///< Connections to upstreams.
    caller_dialect dialect = nativeDialect(); ///< How callers and upstreams word their messages.
    duration balancerGrace = std::chrono::seconds(5); ///< From "not ready" to the end of listening.
    duration drainLimit = std::chrono::seconds(30); ///< A planned stop waits no longer for running requests.
    std::uint64_t seed = 0; ///< Of the random numbers.
};

/// Tasks that the entry task sends messages to; all outlive it.
struct entry_task_outlets {
    mailbox<peers_message> &peers; ///< Links to other VMs.
    mailbox<metrics_message> &metrics; ///< Readiness for the balancer.
    mailbox<configuration_message> &configurations; ///< Asked for the configuration, told what is in force.
    mailbox<operators_message> *operators = nullptr; ///< Told of deaths; null when this is no control VM.
};

/// Serves callers: turns HTTP into events of the entry's decisions and their effects into HTTP.
class entry_task
{
public:
    /// Listens and takes events from inbox. Throws coordination_error (SettingInvalid).
    entry_task(loop &owner, entry_task_options options, mailbox<entry_event> &inbox, entry_task_outlets outlets,
               daemon_counters &counters);

private:
    struct caller_request {
        http_request request; ///< Views that live until it is answered or its caller has gone.
        std::string accountName; ///< Known once a try was started or the request ended.
        std::string service; ///< Known once a try was started or the request ended.
        http_answer answer; ///< Of the last try that was answered.
        instant arrived; ///< When it came.
        std::string instanceName; ///< Of the last try; its identity when it announced no name.
        bool trial = false; ///< The last try shows whether its instance is sound again.
    };

    void receive(exchange_id id, const http_request &request);
    void callerGone(exchange_id id);
    void run(const entry_event &event);
    void perform(const start_attempt &effect);
    void perform(const cancel_attempt &effect);
    void perform(const deliver_answer &effect);
    void perform(const replay_answer &effect);
    void perform(const refuse_request &effect);
    void perform(const publish_instance &effect);
    void perform(const withdraw_instance &effect);
    void perform(const send_claim_message &effect);
    void perform(const publish_claims_member &effect);
    void perform(const wake_at &effect);
    void perform(const limit_send &effect);
    void perform(const drop_connections &effect);
    void perform(const publish_health &effect);
    void perform(const publish_death &effect);
    void perform(const publish_release &effect);
    void perform(const broadcast_evidence &effect);
    void perform(const send_ledger_report &effect);
    void perform(const report_loads &effect);
    void perform(const request_known_instances &effect);
    void perform(const send_known_instances &effect);
    void perform(const report_standing &effect);
    std::vector<std::byte> answerForResends(exchange_id id, const upstream_outcome &outcome) const;
    void attemptEnded(exchange_id id, const upstream_outcome &outcome, bool newConnection);
    std::string_view requestIdOf(const caller_request &request) const;
    void recordRequestEnd(const caller_request &request, result_code code, std::uint16_t status);
    void beginStop();
    void closeListener();
    void finishStop();

    loop &m_loop; ///< Not owned.
    entry_task_options m_options; ///< As constructed.
    mailbox<peers_message> &m_peers; ///< Not owned.
    mailbox<operators_message> *m_operators; ///< Not owned; null when this is no control VM.
    mailbox<metrics_message> &m_metrics; ///< Not owned.
    mailbox<configuration_message> &m_configurations; ///< Not owned.
    daemon_counters &m_counters; ///< Not owned.
    decision_log m_log; ///< One line for each decision about a request.
    entry m_state; ///< All decisions' state.
    bool m_ready = false; ///< The balancer was told that callers can be served.
    std::mt19937_64 m_random; ///< For decisions.
    std::unordered_map<exchange_id, caller_request> m_requests; ///< Requests whose caller waits.
    std::unordered_map<exchange_id, instant> m_attemptStarts; ///< When each running try began.
    upstream_pool m_pool; ///< Connections to upstreams.
    timer m_stepTimer; ///< Sends time_passed.
    timer m_balancerGrace; ///< Ends listening when it fires.
    timer m_drainLimit; ///< Bounds a planned stop.
    http_server m_server; ///< Callers' connections.
    mailbox_attachment<entry_event> m_attachment; ///< To the inbox.
};

} // namespace guavafront
