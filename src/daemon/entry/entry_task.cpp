#include "daemon/entry/entry_task.h"

#include "daemon/fleet/shared_state.h"
#include "http/header_filter.h"
#include "http/http_message.h"
#include "wire/answer_codec.h"
#include "wire/claims_codec.h"

#include "wire/limits_codec.h"
#include <guavafront/coordination/core/coordination_error.h>

#include <glog/logging.h>
#include <sodium.h>
#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace guavafront
{

namespace
{

constexpr duration idleGraceWhenStopping = std::chrono::milliseconds(200);
constexpr std::string_view notRunHeader = "X-Guavafront-Not-Run";
constexpr std::string_view replayedHeader = "Idempotent-Replayed";
constexpr std::string_view accountHeader = "X-Guavafront-Account";
constexpr std::string_view deadlineHeader = "X-Guavafront-Deadline-Ms";

std::optional<key_hash> hashOfKey(std::string_view key)
{
    if (key.empty()) {
        return std::nullopt;
    }
    key_hash hash;
    crypto_hash_sha256(reinterpret_cast<unsigned char *>(hash.data()),
                       reinterpret_cast<const unsigned char *>(key.data()), key.size());
    return hash;
}

attempt_outcome outcomeOf(const upstream_outcome &outcome)
{
    switch (outcome.result) {
    case upstream_result::Answered:
        return headerValue(viewsOf(outcome.answer.headers), notRunHeader) == "true" ? attempt_outcome::RefusedNotRun
                                                                                    : attempt_outcome::Answered;
    case upstream_result::ConnectFailed:
        return attempt_outcome::ConnectFailed;
    case upstream_result::Closed:
        return attempt_outcome::ClosedEarly;
    case upstream_result::AnswerIncomplete:
        return attempt_outcome::AnswerIncomplete;
    case upstream_result::TimedOut:
        return attempt_outcome::TimedOut;
    case upstream_result::Cancelled:
        break;
    }
    return attempt_outcome::Cancelled;
}

/// Header fields for the upstream: the caller's without key and identity, then ours.
std::vector<http_header> headersFor(const http_request &request, const start_attempt &effect, duration timeLeft)
{
    std::vector<http_header> headers = upstreamHeaders(request.headers, callerKey(request.headers));
    if (!effect.accountName.empty()) {
        headers.push_back({std::string(accountHeader), effect.accountName});
    }
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft).count();
    headers.push_back({std::string(deadlineHeader), std::to_string(milliseconds)});
    return headers;
}

} // namespace

request_digest digestOf(const http_request &request)
{
    XXH3_state_t *state = XXH3_createState();
    XXH3_128bits_reset(state);
    for (const std::string_view part : {request.method, request.host, request.path, request.query}) {
        const std::uint64_t size = part.size();
        XXH3_128bits_update(state, &size, sizeof size);
        XXH3_128bits_update(state, part.data(), part.size());
    }
    XXH3_128bits_update(state, request.body.data(), request.body.size());
    const XXH128_hash_t digest = XXH3_128bits_digest(state);
    XXH3_freeState(state);
    return {.high = digest.high64, .low = digest.low64};
}

entry_task::entry_task(loop &owner, entry_task_options options, mailbox<entry_event> &inbox, entry_task_outlets outlets,
                       daemon_counters &counters)
    : m_loop(owner)
    , m_options(std::move(options))
    , m_peers(outlets.peers)
    , m_operators(outlets.operators)
    , m_metrics(outlets.metrics)
    , m_configurations(outlets.configurations)
    , m_counters(counters)
    , m_state(makeEntry(m_options.identity, m_options.policy))
    , m_random(m_options.seed)
    , m_pool(owner, m_options.pool)
    , m_wake(owner, [this] { run(time_passed{}); })
    , m_balancerGrace(owner, [this] { closeListener(); })
    , m_drainLimit(owner,
                   [this] {
                       LOG(WARNING) << "drain limit reached with " << m_requests.size() << " requests under way";
                       finishStop();
                   })
    , m_server(owner, m_options.server,
               {.onRequest = [this](exchange_id id, const http_request &request) { receive(id, request); },
                .onCallerGone =
                    [this](exchange_id id) {
                        callerGone(id);
                    }})
    , m_attachment(inbox, owner, [this](const entry_event &event) { run(event); })
{
    owner.onStopRequested([this] { beginStop(); });
    m_configurations.post(configuration_wanted{});
    m_peers.post(resend_state{});
    run(publications_lost{});
}

void entry_task::receive(exchange_id id, const http_request &request)
{
    m_requests.emplace(id, caller_request{.request = request, .arrived = loop::now()});
    run(request_arrived{{.id = id,
                         .method = request.method,
                         .host = request.host,
                         .path = request.path,
                         .key = hashOfKey(callerKey(request.headers)),
                         .idempotencyKey = headerValue(request.headers, "Idempotency-Key"),
                         .digest = digestOf(request),
                         .bodyBytes = static_cast<std::uint32_t>(request.body.size()),
                         .keyInContent = contentHoldsKey(request, callerKey(request.headers))}});
}

void entry_task::callerGone(exchange_id id)
{
    m_requests.erase(id);
    run(caller_left{id});
}

void entry_task::run(const entry_event &event)
{
    std::vector<entry_effect> effects;
    step(m_state, event, loop::now(), m_random, effects);
    for (const entry_effect &effect : effects) {
        std::visit([this](const auto &each) { perform(each); }, effect);
    }
    const std::uint64_t held = m_state.current->current.value;
    if (std::holds_alternative<configuration_changed>(event)) {
        m_configurations.post(configuration_applied{{held}}); // Every request from now on is served by it.
    }
    m_counters.setRevision(held);
    if (!m_ready && held > 0) {
        m_ready = true;
        m_metrics.post(readiness_changed{true});
    }
}

void entry_task::perform(const start_attempt &effect)
{
    const auto found = m_requests.find(effect.id);
    assert(found != m_requests.end()); // Decisions start no try for a caller that has left.
    caller_request &caller = found->second;
    caller.accountName = effect.accountName;
    caller.service = effect.service;
    const duration timeLeft = std::max(effect.deadline - loop::now(), duration(1));
    const std::vector<http_header> headers = headersFor(caller.request, effect, timeLeft);
    const std::string query = upstreamQuery(caller.request.query, callerKey(caller.request.headers));
    std::string target(caller.request.path);
    if (!query.empty()) {
        target += "?" + query;
    }
    const std::vector<header_view> views = viewsOf(headers);
    m_attemptStarts[effect.id] = loop::now();
    m_pool.send(
        effect.id,
        {.instance = effect.instance, .ip = effect.ip, .port = effect.port, .silenceLimit = effect.silenceLimit},
        {.method = caller.request.method,
         .target = target,
         .headers = views,
         .body = caller.request.body,
         .timeout = timeLeft},
        [this, id = effect.id](const upstream_outcome &outcome, bool newConnection) {
            attemptEnded(id, outcome, newConnection);
        });
}

void entry_task::attemptEnded(exchange_id id, const upstream_outcome &outcome, bool newConnection)
{
    const instant started = m_attemptStarts[id];
    m_attemptStarts.erase(id);
    attempt_result result{.outcome = outcomeOf(outcome),
                          .bytesMayHaveLeft = outcome.mayHaveLeft,
                          .newConnection = newConnection,
                          .status = static_cast<std::uint16_t>(outcome.answer.status),
                          .latency = loop::now() - started};
    if (newConnection && outcome.connectedAt) {
        result.connectTime = *outcome.connectedAt - started;
    }
    if (const auto found = m_requests.find(id); found != m_requests.end()) {
        m_counters.countAttempt(found->second.service, result.outcome);
        found->second.answer = outcome.answer;
    }
    run(attempt_ended{id, result, answerForResends(id, outcome)});
}

std::vector<std::byte> entry_task::answerForResends(exchange_id id, const upstream_outcome &outcome) const
{
    const auto found = m_state.exchanges.find(id);
    if (outcome.result != upstream_result::Answered || found == m_state.exchanges.end() || !found->second.claimed) {
        return {};
    }
    http_answer answer = outcome.answer;
    answer.headers = callerHeaders(viewsOf(answer.headers));
    return encodeAnswer(answer);
}

void entry_task::perform(const cancel_attempt &effect)
{
    m_attemptStarts.erase(effect.id);
    m_pool.cancel(effect.id);
}

void entry_task::perform(const deliver_answer &effect)
{
    const auto found = m_requests.find(effect.id);
    if (found == m_requests.end()) {
        return;
    }
    http_answer &answer = found->second.answer;
    answer.headers = callerHeaders(viewsOf(answer.headers));
    count(found->second, result_code::Ok, static_cast<std::uint16_t>(answer.status));
    m_server.answer(effect.id, answer);
    m_requests.erase(found);
}

void entry_task::perform(const replay_answer &effect)
{
    const auto found = m_requests.find(effect.id);
    if (found == m_requests.end()) {
        return;
    }
    found->second.service = effect.service;
    found->second.accountName = effect.accountName;
    try {
        http_answer answer = decodeAnswer(effect.answer);
        answer.headers.push_back({std::string(replayedHeader), "true"});
        count(found->second, result_code::Ok, static_cast<std::uint16_t>(answer.status));
        m_server.answer(effect.id, answer);
        m_requests.erase(found);
    } catch (const coordination_error &error) { // Another VM kept it; its bytes are outside input.
        LOG(ERROR) << "kept answer can't be read: " << error.what();
        perform(refuse_request{effect.id,
                               {.code = result_code::OutcomeUnknown, .ran = execution::Unknown},
                               effect.service,
                               effect.accountName});
    }
}

void entry_task::perform(const send_claim_message &effect)
{
    m_peers.post(send_to_vm{effect.to, {.kind = channel::Claims, .body = encodeClaimMessage(effect.message)}});
}

void entry_task::perform(const refuse_request &effect)
{
    const auto found = m_requests.find(effect.id);
    if (found == m_requests.end()) {
        return;
    }
    found->second.service = effect.service;
    found->second.accountName = effect.accountName;
    count(found->second, effect.reason.code, describe(effect.reason.code).httpStatus);
    m_server.answer(effect.id, refusalAnswer(effect.reason));
    m_requests.erase(found);
}

void entry_task::perform(const publish_instance &effect)
{
    m_peers.post(publicationOf(effect));
}

void entry_task::perform(const withdraw_instance &effect)
{
    m_peers.post(publicationOf(effect));
    m_pool.forget(effect.instance);
}

void entry_task::perform(const publish_claims_member &effect)
{
    m_peers.post(publicationOf(effect));
}

void entry_task::perform(const wake_at &effect)
{
    m_wake.arm(effect.when - loop::now());
}

void entry_task::perform(const limit_send &effect)
{
    m_peers.post(send_to_vm{effect.to, {.kind = channel::Limits, .body = encodeLimitMessage(effect.message)}});
}

void entry_task::perform(const drop_connections &effect)
{
    m_pool.forget(effect.instance);
}

void entry_task::perform(const publish_health &effect)
{
    m_peers.post(publicationOf(effect));
}

void entry_task::perform(const publish_death &effect)
{
    m_peers.post(publicationOf(effect));
    if (m_operators) {
        m_operators->post(death_learned{effect.death}); // A VM doesn't hear its own entries.
    }
}

void entry_task::perform(const publish_release &effect)
{
    m_peers.post(publicationOf(effect));
}

void entry_task::count(const caller_request &request, result_code code, std::uint16_t status)
{
    m_counters.countRequest(request.service, request.accountName, code, status);
    const std::chrono::duration<double> seconds = loop::now() - request.arrived;
    m_counters.observeLatency(request.service, seconds.count());
}

void entry_task::beginStop()
{
    LOG(INFO) << "planned stop: " << m_requests.size() << " requests under way";
    m_metrics.post(readiness_changed{false});
    m_balancerGrace.arm(m_options.balancerGrace);
}

void entry_task::closeListener()
{
    m_drainLimit.arm(m_options.drainLimit);
    m_server.stop(idleGraceWhenStopping, [this] { finishStop(); });
}

void entry_task::finishStop()
{
    run(stop_requested{}); // The last request is over: what is left of the leases goes back to their owners.
    m_loop.stop();
}

} // namespace guavafront
