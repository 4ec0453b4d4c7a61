#include "daemon/operators/operators_task.h"

#include "daemon/token_check.h"
#include "http/header_filter.h"
#include "wire/confirmation_json.h"
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
    return nlohmann::ordered_json{{"leader", status.leader},       {"revision", status.accepted->atRevision.value},
                                  {"vm", toHex(status.self)},      {"leader_vm", toHex(status.leaderVm)},
                                  {"members", std::move(members)}, {"waiting", std::move(waiting)}}
        .dump();
}

void requireOperator(const change_author &author, const char *what)
{
    if (author.role != operator_role::Operator) {
        throw coordination_error(result_code::NotAuthorized, what);
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
                        m_questions.erase(id);
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
    const operator_token *author = findOperator(m_tokens, callerKey(request.headers));
    if (!author) {
        throw coordination_error(result_code::NotAuthorized, "the token is missing or unknown");
    }
    if (request.method == "POST" && request.path == "/v1/changes") {
        submit(id, author->author, request);
    } else if (request.method == "POST" && request.path == "/v1/replacements") {
        submitReplacement(id, author->author, request);
    } else if (request.method == "GET" && request.path == "/v1/configuration") {
        requireOperator(author->author, "only operators read the configuration");
        ask(id, {question_kind::Configuration, {}});
    } else if (request.method == "GET" && request.path == "/v1/status") {
        ask(id, {question_kind::Status, {}});
    } else if (request.method == "GET" && request.path == "/v1/confirmations") {
        requireOperator(author->author, "only operators see the fleet's VMs");
        ask(id, {question_kind::Confirmations, parseConfirmationQuery(request.query)});
    } else if (request.method == "GET" && request.path == "/v1/quarantine") {
        requireOperator(author->author, "only operators list held-back requests");
        ask(id, {question_kind::Quarantine, {}});
    } else if (request.method == "POST" && request.path == "/v1/quarantine/release") {
        requireOperator(author->author, "only operators release held-back requests");
        releaseRequest(id, request);
    } else {
        throw coordination_error(result_code::NoRoute, "no such operation");
    }
}

void operators_task::submit(exchange_id id, const change_author &author, const http_request &request)
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
        .old = parsed.old, .fresh = parsed.fresh, .answer = [&inbox = m_inbox, id](const change_answer &answer) {
            inbox.post(change_answered{id, answer});
        }};
    if (!m_control.post(std::move(message))) {
        throw coordination_error(result_code::EntryOverloaded, "the control is behind; nothing was taken");
    }
}

void operators_task::releaseRequest(exchange_id id, const http_request &request)
{
    const request_fingerprint named = parseReleaseJson(textOf(request.body));
    const std::optional<death_record> released = release(m_held, named, loop::now());
    if (!released) {
        throw coordination_error(result_code::ChangeInvalid, "this VM knows of no death by this request");
    }
    m_publishRelease({.request = named, .forgiven = released->forgiven});
    reply(id, result_code::Ok, jsonAnswer(statusOk, releaseJson(named)));
}

void operators_task::ask(exchange_id id, const question &asked)
{
    status_requested message{.answer = [&inbox = m_inbox, id](const control_status &status) {
        inbox.post(status_answered{id, status});
    }};
    if (!m_control.post(std::move(message))) {
        throw coordination_error(result_code::EntryOverloaded, "the control is behind");
    }
    m_questions.emplace(id, asked);
}

void operators_task::handle(const change_answered &message)
{
    reply(message.id, message.answer.code,
          jsonAnswer(describe(message.answer.code).httpStatus, toJson(message.answer)));
}

void operators_task::handle(const status_answered &message)
{
    const auto found = m_questions.find(message.id);
    if (found == m_questions.end()) {
        return; // The operator went away.
    }
    const question asked = found->second;
    m_questions.erase(found);
    try {
        answerFrom(message.id, asked, message.status);
    } catch (const coordination_error &error) {
        reply(message.id, error.code(), problemAnswer(error.code(), error.what()));
    }
}

void operators_task::answerFrom(exchange_id id, const question &asked, const control_status &status)
{
    if (asked.kind == question_kind::Status) {
        reply(id, result_code::Ok, jsonAnswer(statusOk, statusJson(status)));
        return;
    }
    if (asked.kind == question_kind::Quarantine) {
        reply(id, result_code::Ok, jsonAnswer(statusOk, heldRequestsJson(status)));
        return;
    }
    if (!status.leader) {
        throw coordination_error(result_code::NotLeader, "only the leader's answer is current");
    }
    if (asked.kind == question_kind::Configuration) {
        reply(id, result_code::Ok, jsonAnswer(statusOk, toOperatorJson(*status.accepted)));
        return;
    }
    if (asked.wanted > status.accepted->atRevision) {
        throw coordination_error(result_code::RevisionUnknown, "the highest accepted revision is lower");
    }
    askConfirmations(id, asked.wanted);
}

void operators_task::askConfirmations(exchange_id id, revision wanted)
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

std::string operators_task::heldRequestsJson(const control_status &status)
{
    expire(m_held, loop::now());
    return toJson(listQuarantined(m_held, status.accepted->defaults.quarantineDeaths), *status.accepted);
}

void operators_task::handle(const death_reported &news)
{
    recordDeath(m_held, news.death, loop::now());
}

void operators_task::handle(const release_reported &news)
{
    recordRelease(m_held, news.request, news.forgiven, loop::now());
}

void operators_task::reply(exchange_id id, result_code code, const http_answer &answer)
{
    m_counters.countOperatorRequest(code);
    m_server.answer(id, answer);
}

} // namespace guavafront
