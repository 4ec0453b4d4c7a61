#include "daemon/operators/operators_task.h"

#include "daemon/token_check.h"
#include "http/header_filter.h"
#include "wire/confirmation_json.h"
#include "wire/operator_change_json.h"
#include "wire/operator_json.h"
#include "wire/quarantine_json.h"
#include "wire/replacement_json.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <nlohmann/json.hpp>

#include <utility>

namespace guavafront
{

namespace
{

constexpr int statusOk = 200;

std::string statusJson(const control_status &status)
{
    nlohmann::ordered_json members = nlohmann::ordered_json::array();
    for (const member &each : status.members.members) {
        members.push_back({{"vm", toHex(each.id)}, {"votes", each.role == voting_role::Voter}});
    }
    nlohmann::ordered_json waiting = nlohmann::ordered_json::array();
    for (const vm_id vm : status.waiting) {
        waiting.push_back(toHex(vm));
    }
    nlohmann::ordered_json document{{"leader", status.leader},       {"revision", status.accepted->atRevision.value},
                                    {"vm", toHex(status.self)},      {"leader_vm", toHex(status.leaderVm)},
                                    {"members", std::move(members)}, {"waiting", std::move(waiting)}};
    document["evacuations"] = evacuationsJson(status.accepted->evacuations);
    return document.dump();
}

void requireOperator(const change_author &author, const char *refusalText)
{
    if (author.role != operator_role::Operator) {
        throw coordination_error(result_code::NotAuthorized, refusalText);
    }
}

} // namespace

operators_task::operators_task(loop &owner, operators_task_options options, mailbox<operators_message> &inbox,
                               const operators_task_outlets &outlets, daemon_counters &counters)
    : m_tokens(std::move(options.tokens))
    , m_publishRelease(std::move(options.publishRelease))
    , m_inbox(inbox)
    , m_control(outlets.control)
    , m_configurations(outlets.configurations)
    , m_counters(counters)
    , m_server(owner, std::move(options.server),
               {.onRequest = [this](exchange_id id, const http_request &request) { receive(id, request); },
                .onCallerGone =
                    [this](exchange_id id) {
                        m_pendingQueries.erase(id);
                    }})
    , m_attachment(inbox, owner, [this](const operators_message &message) {
        std::visit([this](const auto &each) { handle(each); }, message);
    })
{
}

void operators_task::receive(exchange_id id, const http_request &request)
{
    try {
        dispatch(id, request);
    } catch (const coordination_error &error) {
        reply(id, error.code(), problemAnswer(error.code(), error.what()));
    }
}

void operators_task::dispatch(exchange_id id, const http_request &request)
{
    const operator_token *token = findOperator(m_tokens, callerKey(request.headers));
    if (!token) {
        throw coordination_error(result_code::NotAuthorized, "the token is missing or unknown");
    }
    if (request.method == "POST" && request.path == "/v1/changes") {
        submitChange(id, token->author, request);
    } else if (request.method == "POST" && request.path == "/v1/replacements") {
        submitReplacement(id, token->author, request);
    } else if (request.method == "GET" && request.path == "/v1/configuration") {
        requireOperator(token->author, "only operators read the configuration");
        requestStatus(id, {query_kind::Configuration, {}});
    } else if (request.method == "GET" && request.path == "/v1/status") {
        requestStatus(id, {query_kind::Status, {}});
    } else if (request.method == "GET" && request.path == "/v1/confirmations") {
        requireOperator(token->author, "only operators see the fleet's VMs");
        requestStatus(id, {query_kind::Confirmations, parseConfirmationQuery(request.query)});
    } else if (request.method == "GET" && request.path == "/v1/quarantine") {
        requireOperator(token->author, "only operators list held-back requests");
        requestStatus(id, {query_kind::Quarantine, {}});
    } else if (request.method == "POST" && request.path == "/v1/quarantine/release") {
        requireOperator(token->author, "only operators release held-back requests");
        releaseQuarantinedRequest(id, request);
    } else {
        throw coordination_error(result_code::NoRoute, "no such operation");
    }
}

void operators_task::submitChange(exchange_id id, const change_author &author, const http_request &request)
{
    change_submitted message{.author = author,
                             .request = parseChangeRequestJson(textOf(request.body)),
                             .answer = [&inbox = m_inbox, id](const change_answer &answer) {
                                 inbox.post(change_answered{id, answer});
                             }};
    if (!m_control.post(std::move(message))) {
        throw coordination_error(result_code::EntryOverloaded, "the control is behind; nothing was taken");
    }
}

void operators_task::submitReplacement(exchange_id id, const change_author &author, const http_request &request)
{
    requireOperator(author, "only operators replace control VMs");
    const replacement_request parsed = parseReplacementJson(textOf(request.body));
    replacement_submitted message{
        .old = parsed.old, .fresh = parsed.replacement, .answer = [&inbox = m_inbox, id](const change_answer &answer) {
            inbox.post(change_answered{id, answer});
        }};
    if (!m_control.post(std::move(message))) {
        throw coordination_error(result_code::EntryOverloaded, "the control is behind; nothing was taken");
    }
}

void operators_task::releaseQuarantinedRequest(exchange_id id, const http_request &request)
{
    const request_fingerprint fingerprint = parseReleaseJson(textOf(request.body));
    const std::optional<death_record> released = release(m_quarantine, fingerprint, loop::now());
    if (!released) {
        throw coordination_error(result_code::ChangeInvalid, "this VM knows of no death by this request");
    }
    m_publishRelease({.request = fingerprint, .forgiven = released->forgiven});
    reply(id, result_code::Ok, jsonAnswer(statusOk, releaseJson(fingerprint)));
}

void operators_task::requestStatus(exchange_id id, const pending_query &query)
{
    status_requested message{.answer = [&inbox = m_inbox, id](const control_status &status) {
        inbox.post(status_answered{id, status});
    }};
    if (!m_control.post(std::move(message))) {
        throw coordination_error(result_code::EntryOverloaded, "the control is behind");
    }
    m_pendingQueries.emplace(id, query);
}

void operators_task::handle(const change_answered &message)
{
    reply(message.id, message.answer.code,
          jsonAnswer(describe(message.answer.code).httpStatus, toJson(message.answer)));
}

void operators_task::handle(const status_answered &message)
{
    const auto found = m_pendingQueries.find(message.id);
    if (found == m_pendingQueries.end()) {
        return; // The operator has disconnected.
    }
    const pending_query query = found->second;
    m_pendingQueries.erase(found);
    try {
        answerQuery(message.id, query, message.status);
    } catch (const coordination_error &error) {
        reply(message.id, error.code(), problemAnswer(error.code(), error.what()));
    }
}

void operators_task::answerQuery(exchange_id id, const pending_query &query, const control_status &status)
{
    if (query.kind == query_kind::Status) {
        reply(id, result_code::Ok, jsonAnswer(statusOk, statusJson(status)));
        return;
    }
    if (query.kind == query_kind::Quarantine) {
        reply(id, result_code::Ok, jsonAnswer(statusOk, quarantineJson(status)));
        return;
    }
    if (!status.leader) {
        throw coordination_error(result_code::NotLeader, "only the leader's answer is current");
    }
    if (query.kind == query_kind::Configuration) {
        reply(id, result_code::Ok, jsonAnswer(statusOk, toOperatorJson(*status.accepted)));
        return;
    }
    if (query.wanted > status.accepted->atRevision) {
        throw coordination_error(result_code::RevisionUnknown, "the highest accepted revision is lower");
    }
    requestConfirmations(id, query.wanted);
}

void operators_task::requestConfirmations(exchange_id id, revision wanted)
{
    confirmation_requested message{.wanted = wanted,
                                   .answer = [&inbox = m_inbox, id, wanted](const confirmation_status &status) {
                                       inbox.post(confirmation_answered{id, wanted, status});
                                   }};
    if (!m_configurations.post(std::move(message))) {
        throw coordination_error(result_code::EntryOverloaded, "the configuration task is behind");
    }
}

void operators_task::handle(const confirmation_answered &message)
{
    const confirmation_answer answer{message.wanted, message.status};
    const result_code code = codeOf(answer);
    reply(message.id, code, jsonAnswer(describe(code).httpStatus, toJson(answer)));
}

std::string operators_task::quarantineJson(const control_status &status)
{
    expire(m_quarantine, loop::now());
    return toJson(listQuarantined(m_quarantine, status.accepted->defaults.quarantineDeaths), *status.accepted);
}

void operators_task::handle(const death_reported &event)
{
    recordDeath(m_quarantine, event.death, loop::now());
}

void operators_task::handle(const release_reported &event)
{
    recordRelease(m_quarantine, event.request, event.forgiven, loop::now());
}

void operators_task::reply(exchange_id id, result_code code, const http_answer &answer)
{
    m_counters.countOperatorRequest(code);
    m_server.answer(id, answer);
}

} // namespace guavafront
