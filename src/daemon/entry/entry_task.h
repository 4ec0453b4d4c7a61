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
    entry_identity identity; ///< Identity of this VM.
    std::string vmName; ///< Name of this VM in logs.
    entry_policy policy; ///< Policy of the decisions about requests.
    http_server_options server; ///< HTTP server for callers.
    upstream_pool_options pool; ///< Connections to upstream instances.
    /// Memory for the requests that are being received and the answers that are being received or sent.
    std::size_t messageMemoryBytes = std::size_t{64} * 1024 * 1024;
    caller_dialect dialect = nativeDialect(); ///< HTTP conventions of callers and upstreams.
    duration balancerGrace = std::chrono::seconds(5); ///< Time from reporting "not ready" to the end of listening.
    duration drainLimit = std::chrono::seconds(30); ///< Longest wait of a planned stop for running requests.
    std::uint64_t seed = 0; ///< Seed of the random numbers used by decisions.
};

/// Mailboxes of the tasks that the entry task sends messages to. All outlive the entry task.
struct entry_task_outlets {
    mailbox<peers_message> &peers; ///< Peers task, which sends to other VMs.
    mailbox<metrics_message> &metrics; ///< Metrics task, which reports readiness to the load balancer.
    mailbox<configuration_message> &configurations; ///< Configuration task, which supplies the configuration.
    mailbox<operators_message> *operators = nullptr; ///< Operators task; null unless this is a control VM.
};

/// Serves callers on an entry VM. It turns HTTP requests and messages into events for the decisions, and carries out
/// the effects that these return.
class entry_task
{
public:
    /// Starts to listen for callers and handles the events that arrive in inbox. Throws coordination_error
    /// (SettingInvalid).
    entry_task(loop &owner, entry_task_options options, mailbox<entry_event> &inbox, entry_task_outlets outlets,
               daemon_counters &counters);

private:
    struct caller_request {
        http_request request; ///< Views, valid until the request is answered or its caller has gone.
        std::string accountName; ///< Client account; known from the first attempt or the end of the request.
        std::optional<key_acceptance> keyAccepted; ///< What the API key was accepted by; known from the first attempt.
        std::string service; ///< Service; known from the first attempt or the end of the request.
        http_answer answer; ///< Answer of the last attempt that ended; empty if it got none.
        instant arrived; ///< Time of arrival.
        std::string instanceName; ///< Instance of the last attempt; its id if it announced no name.
        bool trial = false; ///< The last attempt tries whether an avoided instance works again.
        trial_reason trialReason = trial_reason::None; ///< Why the last attempt is a trial.
        bool cold = false; ///< The last attempt's instance was cold.
        attempt_placement placement; ///< What the last attempt's instance was chosen by.
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
    void perform(const report_notice &effect);
    void perform(const report_retry_refused &effect);
    void perform(const send_warmups &effect);
    void perform(const report_warmups &effect);
    void perform(const report_departure &effect);
    void perform(const report_instance &effect);
    void perform(const report_evacuation &effect);
    void perform(const count_evacuated_request &effect);
    void perform(const report_admission_refusal &effect);
    void perform(const report_admission_wait &effect);
    std::vector<std::byte> answerForResends(exchange_id id, const upstream_outcome &outcome) const;
    void attemptEnded(exchange_id id, upstream_outcome outcome, bool newConnection);
    std::string_view requestIdOf(const caller_request &request) const;
    void recordRequestEnd(const caller_request &request, result_code code, std::uint16_t status);
    void beginStop();
    void closeListener();
    void closeIntake();
    void endRuns();
    duration runsLimit() const;
    void finishStop();

    loop &m_loop; ///< Loop that runs the task; not owned.
    entry_task_options m_options; ///< Settings given to the constructor.
    mailbox<peers_message> &m_peers; ///< Peers task; not owned.
    mailbox<operators_message> *m_operators; ///< Operators task; not owned, null unless this is a control VM.
    mailbox<metrics_message> &m_metrics; ///< Metrics task; not owned.
    mailbox<configuration_message> &m_configurations; ///< Configuration task; not owned.
    daemon_counters &m_counters; ///< Exported counters; not owned.
    decision_log m_log; ///< Log of attempts, ends of requests and services' instance counts.
    entry m_state; ///< State of all decisions.
    bool m_ready = false; ///< Readiness to serve callers has been reported to the load balancer.
    instant m_runsEndAt{}; ///< End of the running requests during a planned stop.
    std::mt19937_64 m_random; ///< Random numbers for decisions.
    std::unordered_map<exchange_id, caller_request> m_requests; ///< Requests whose callers are waiting for an answer.
    std::unordered_map<exchange_id, instant> m_attemptStarts; ///< Start of each request's running attempt.
    message_memory m_memory; ///< Shared by the connections to callers and to upstream instances.
    upstream_pool m_pool; ///< Connections to upstream instances.
    timer m_stepTimer; ///< Sends time_passed at the time that the decisions asked for.
    timer m_balancerGrace; ///< Ends listening once the load balancer has had time to react.
    timer m_intakeEnd; ///< Ends the intake of requests once the kept connections have had time to send theirs.
    timer m_drainLimit; ///< Ends the requests that a planned stop can't wait for.
    timer m_lastAnswers; ///< Ends the task once the answers of these requests have been sent.
    http_server m_server; ///< Connections of callers.
    mailbox_attachment<entry_event> m_attachment; ///< Delivers events from the inbox to run().
};

} // namespace guavafront
