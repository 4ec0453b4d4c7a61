#pragma once

#include "daemon/configuration/configuration_message.h"
#include "daemon/control/control_message.h"
#include "daemon/metrics/daemon_counters.h"
#include "daemon/operators/operator_tokens.h"
#include "daemon/operators/operators_message.h"
#include "http/http_server.h"
#include "runtime/mailbox.h"

#include <guavafront/coordination/entry/entry_effect.h>
#include <guavafront/coordination/quarantine/quarantine.h>

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavafront
{

/// Settings of the operators task.
struct operators_task_options {
    http_server_options server; ///< Listener for operators.
    std::vector<operator_token> tokens; ///< Accepted tokens.
    std::function<void(const publish_release &)> publishRelease; ///< Publishes a release to all entry VMs.
};

/// Mailboxes into which the operators task posts; not owned.
struct operators_task_outlets {
    mailbox<control_message> &control; ///< Inbox of the control task.
    mailbox<configuration_message> &configurations; ///< Inbox of the configuration task.
};

/// HTTP interface for operators: POST /v1/changes, POST /v1/replacements, GET /v1/configuration, GET /v1/status,
/// GET /v1/confirmations?revision=N, GET /v1/quarantine, POST /v1/quarantine/release. Every request must carry a bearer
/// token. Quarantined requests are known from the deaths and releases that entry VMs publish in the spread map.
class operators_task
{
public:
    /// Starts to listen; inbox receives other tasks' answers. Throws coordination_error (SettingInvalid) if the address
    /// can't be used.
    operators_task(loop &owner, operators_task_options options, mailbox<operators_message> &inbox,
                   const operators_task_outlets &outlets, daemon_counters &counters);

private:
    enum class query_kind : std::uint8_t { Configuration, Status, Confirmations, Quarantine };

    struct pending_query {
        query_kind kind; ///< Kind of the query.
        revision wanted; ///< Revision that a Confirmations query is about.
    };

    void receive(exchange_id id, const http_request &request);
    void dispatch(exchange_id id, const http_request &request);
    void submitChange(exchange_id id, const change_author &author, const http_request &request);
    void submitReplacement(exchange_id id, const change_author &author, const http_request &request);
    void requestStatus(exchange_id id, const pending_query &query);
    void handle(const change_answered &message);
    void handle(const status_answered &message);
    void handle(const confirmation_answered &message);
    void answerQuery(exchange_id id, const pending_query &query, const control_status &status);
    void requestConfirmations(exchange_id id, revision wanted);
    void releaseQuarantinedRequest(exchange_id id, const http_request &request);
    std::string quarantineJson(const control_status &status);
    void handle(const death_reported &event);
    void handle(const release_reported &event);
    void reply(exchange_id id, result_code code, const http_answer &answer);

    std::vector<operator_token> m_tokens; ///< Accepted tokens.
    std::function<void(const publish_release &)> m_publishRelease; ///< Publishes a release to all entry VMs.
    quarantine m_quarantine; ///< Deaths and releases that the entry VMs have published.
    mailbox<operators_message> &m_inbox; ///< Own inbox, into which other tasks' answers are posted; not owned.
    mailbox<control_message> &m_control; ///< Inbox of the control task; not owned.
    mailbox<configuration_message> &m_configurations; ///< Inbox of the configuration task; not owned.
    daemon_counters &m_counters; ///< Daemon's counters; not owned.
    std::unordered_map<exchange_id, pending_query> m_pendingQueries; ///< Queries that wait for control_status.
    http_server m_server; ///< Connections of operators.
    mailbox_attachment<operators_message> m_attachment;
};

} // namespace guavafront
