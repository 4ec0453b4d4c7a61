#include "daemon/entry/entry_task.h"

#include "http/http_message.h"
#include "wire/answer_codec.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <glog/logging.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace guavafront
{

namespace
{

/// Time that a planned stop leaves idle connections of callers before it closes them.
constexpr duration idleGraceWhenStopping = std::chrono::milliseconds(200);
/// Part of the drain limit of a planned stop that is reserved for sending the answers of requests that it ends.
constexpr duration lastAnswersTime = std::chrono::milliseconds(200);
/// Bounds the size of the decision log under load to some tens of kilobytes a second.
constexpr std::uint32_t logLinesPerSecond = 200;
constexpr std::string_view replayedHeader = "Idempotent-Replayed";

double inMilliseconds(duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

attempt_outcome outcomeOf(const caller_dialect &dialect, const upstream_outcome &outcome)
{
    switch (outcome.result) {
    case upstream_result::Answered:
        return dialect.classifyAnswer(outcome.answer);
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

/// Returns the limits of callers' connections. A limit that the configuration lacks comes from the settings.
connection_limits limitsFrom(const http_server_options &settings, const caller_limits &limits)
{
    const auto millisecondsOr = [](std::uint32_t given, duration fallback) -> duration {
        return given > 0 ? std::chrono::milliseconds(given) : fallback;
    };
    return {.message = {.headerBytes = limits.headerBytes > 0 ? limits.headerBytes : settings.headerLimitBytes,
                        .bodyBytes = limits.bodyBytes > 0 ? limits.bodyBytes : settings.bodyLimitBytes},
            .idleTimeout = millisecondsOr(limits.idleTimeoutMs, settings.idleTimeout),
            .headerTimeout = millisecondsOr(limits.headerTimeoutMs, settings.headerTimeout),
            .receiveTimeout = settings.receiveTimeout,
            .sendProgressTimeout = settings.sendProgressTimeout,
            .memory = settings.memory};
}

template<class options>
options withMemory(options given, message_memory &memory)
{
    given.memory = &memory;
    return given;
}

} // namespace

entry_task::entry_task(loop &owner, entry_task_options options, mailbox<entry_event> &inbox, entry_task_outlets outlets,
                       daemon_counters &counters)
    : m_loop(owner)
    , m_options(std::move(options))
    , m_peers(outlets.peers)
    , m_operators(outlets.operators)
    , m_metrics(outlets.metrics)
    , m_configurations(outlets.configurations)
    , m_counters(counters)
    , m_log(m_options.vmName, logLinesPerSecond)
    , m_state(makeEntry(m_options.identity, m_options.policy))
    , m_random(m_options.seed)
    , m_memory(m_options.messageMemoryBytes)
    , m_pool(owner, withMemory(m_options.pool, m_memory))
    , m_stepTimer(owner, [this] { run(time_passed{}); })
    , m_balancerGrace(owner, [this] { closeListener(); })
    , m_intakeEnd(owner, [this] { closeIntake(); })
    , m_drainLimit(owner, [this] { endRuns(); })
    , m_lastAnswers(owner, [this] { finishStop(); })
    , m_server(owner, withMemory(m_options.server, m_memory),
               {.onRequest = [this](exchange_id id, const http_request &request) { receive(id, request); },
                .onCallerGone =
                    [this](exchange_id id) {
                        callerGone(id);
                    }})
    , m_attachment(inbox, owner, [this](const entry_event &event) { run(event); })
{
    owner.onStopRequested([this] { beginStop(); });
    m_configurations.post(configuration_requested{});
    m_peers.post(resend_state{});
    run(publications_lost{});
}

void entry_task::receive(exchange_id id, const http_request &request)
{
    m_requests.emplace(id, caller_request{.request = request, .arrived = loop::now()});
    request_head head;
    try {
        head = m_options.dialect.headOf(request);
    } catch (const coordination_error &fault) {
        perform(refuse_request{id, {.code = fault.code(), .ran = execution::NotRun}, {}, {}});
        return;
    }
    head.id = id;
    run(request_arrived{head});
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
    const std::uint64_t held = m_state.activeConfiguration->atRevision.value;
    if (std::holds_alternative<configuration_changed>(event)) {
        m_configurations.post(configuration_applied{{held}}); // All further requests are served by this revision.
        m_server.setLimits(limitsFrom(withMemory(m_options.server, m_memory), m_state.activeConfiguration->limits));
    }
    m_counters.setRevision(held);
    if (m_state.keysConfirmedAt) {
        m_counters.setConfigurationAge(std::chrono::duration<double>(loop::now() - *m_state.keysConfirmedAt).count());
    }
    if (!m_ready && held > 0 && !isConfigurationOutdated(m_state, loop::now())) {
        m_ready = true;
        m_metrics.post(readiness_changed{true});
    }
}

void entry_task::perform(const start_attempt &effect)
{
    const auto found = m_requests.find(effect.id);
    assert(found != m_requests.end()); // No attempt is started for a caller that has gone.
    caller_request &caller = found->second;
    caller.accountName = effect.accountName;
    caller.keyAccepted = effect.keyAccepted;
    caller.service = effect.service;
    caller.instanceName = effect.instanceName;
    caller.trial = effect.trial;
    caller.trialReason = effect.trialReason;
    caller.cold = effect.cold;
    caller.placement = effect.placement;
    const duration timeLeft = std::max(effect.deadline - loop::now(), duration(1));
    const std::vector<http_header> headers = m_options.dialect.upstreamHeaders(caller.request, effect, timeLeft);
    const std::string target = m_options.dialect.upstreamTarget(caller.request);
    const std::vector<header_view> views = viewsOf(headers);
    m_attemptStarts[effect.id] = loop::now();
    m_pool.send(
        effect.id,
        {.instance = effect.instance, .ip = effect.ip, .port = effect.port, .silenceLimit = effect.silenceLimit},
        {.method = caller.request.method,
         .target = target,
         .headers = views,
         .body = caller.request.body,
         .echoed = m_options.dialect.echoedField(caller.request),
         .timeout = timeLeft},
        [this, id = effect.id](upstream_outcome outcome, bool newConnection) {
            attemptEnded(id, std::move(outcome), newConnection);
        });
}

void entry_task::attemptEnded(exchange_id id, upstream_outcome outcome, bool newConnection)
{
    const instant started = m_attemptStarts[id];
    m_attemptStarts.erase(id);
    attempt_result result{.outcome = outcomeOf(m_options.dialect, outcome),
                          .mayHaveBeenSent = outcome.mayHaveBeenSent,
                          .newConnection = newConnection,
                          .status = static_cast<std::uint16_t>(outcome.answer.status),
                          .latency = loop::now() - started};
    if (outcome.result == upstream_result::Answered) {
        const answer_metadata metadata = m_options.dialect.metadataOf(outcome.answer);
        result.reportedLoad = metadata.reportedLoad;
        result.wrongInstance = metadata.wrongInstance;
        result.instanceLeaves = metadata.instanceLeaves;
        result.requestedPause = metadata.requestedPause;
    }
    if (newConnection && outcome.connectedAt) {
        result.connectTime = *outcome.connectedAt - started;
    }
    if (const auto found = m_requests.find(id); found != m_requests.end()) {
        m_counters.countAttempt(found->second.service, result.outcome);
        const attempt_placement &placement = found->second.placement;
        m_counters.observePlacement(found->second.service, placement, result);
        const std::string_view reason = trialReasonName(found->second.trialReason);
        if (found->second.trial) {
            m_counters.countTrial(found->second.service, reason, result.outcome);
        }
        m_log.write("try", loop::now(),
                    {{"id", requestIdOf(found->second)},
                     {"service", found->second.service},
                     {"instance", found->second.instanceName},
                     {"outcome", attemptOutcomeName(result.outcome)},
                     {"status", std::int64_t{result.status}},
                     {"new_connection", std::int64_t{newConnection}},
                     {"trial", std::int64_t{found->second.trial}},
                     {"trial_reason", reason},
                     {"cold", std::int64_t{found->second.cold}},
                     {"by_work", std::int64_t{placement.byWork}},
                     {"work_ms", inMilliseconds(placement.expectedWork)},
                     {"wait_ms", inMilliseconds(placement.expectedWait)},
                     {"ms", inMilliseconds(result.latency)}});
    }
    std::vector<std::byte> forResends = answerForResends(id, outcome);
    if (const auto found = m_requests.find(id); found != m_requests.end()) {
        found->second.answer = std::move(outcome.answer);
    }
    run(attempt_ended{id, result, std::move(forResends)});
}

std::vector<std::byte> entry_task::answerForResends(exchange_id id, const upstream_outcome &outcome) const
{
    const auto found = m_state.exchanges.find(id);
    if (outcome.result != upstream_result::Answered || found == m_state.exchanges.end() || !found->second.claimed) {
        return {};
    }
    http_answer answer = outcome.answer;
    answer.headers = m_options.dialect.callerHeaders(viewsOf(answer.headers));
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
    answer.headers = m_options.dialect.callerHeaders(viewsOf(answer.headers));
    recordRequestEnd(found->second, result_code::Ok, static_cast<std::uint16_t>(answer.status));
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
        recordRequestEnd(found->second, result_code::Ok, static_cast<std::uint16_t>(answer.status));
        m_server.answer(effect.id, answer);
        m_requests.erase(found);
    } catch (const coordination_error &error) { // Another VM stored the answer, so its bytes may be malformed.
        LOG(ERROR) << "can't read a stored answer: " << error.what();
        perform(refuse_request{effect.id,
                               {.code = result_code::OutcomeUnknown, .ran = execution::Unknown},
                               effect.service,
                               effect.accountName});
    }
}

void entry_task::perform(const refuse_request &effect)
{
    const auto found = m_requests.find(effect.id);
    if (found == m_requests.end()) {
        return;
    }
    found->second.service = effect.service;
    found->second.accountName = effect.accountName;
    recordRequestEnd(found->second, effect.reason.code, describe(effect.reason.code).httpStatus);
    m_server.answer(effect.id, m_options.dialect.refusalAnswer(effect.reason));
    m_requests.erase(found);
}

void entry_task::perform(const wake_at &effect)
{
    m_stepTimer.arm(effect.when - loop::now());
}

void entry_task::perform(const drop_connections &effect)
{
    m_pool.closeIdle(effect.instance);
}

void entry_task::perform(const report_notice &effect)
{
    const auto found = m_requests.find(effect.id);
    const std::string_view notice = effect.pause > duration::zero() ? "pause" : "leaving";
    m_counters.countNotice(effect.service, notice);
    m_log.write("notice", loop::now(),
                {{"id", found == m_requests.end() ? std::string_view() : requestIdOf(found->second)},
                 {"service", effect.service},
                 {"instance", effect.instanceName},
                 {"notice", notice},
                 {"ms", inMilliseconds(effect.pause)}});
}

std::string_view entry_task::requestIdOf(const caller_request &request) const
{
    return m_options.dialect.requestId(request.request);
}

void entry_task::recordRequestEnd(const caller_request &request, result_code code, std::uint16_t status)
{
    const key_acceptance key = request.keyAccepted.value_or(key_acceptance{});
    m_log.write("end", loop::now(),
                {{"id", requestIdOf(request)},
                 {"service", request.service},
                 {"account", request.accountName},
                 {"code", describe(code).name},
                 {"status", std::int64_t{status}},
                 {"revision", static_cast<std::int64_t>(key.atRevision.value)},
                 {"confirmed_ms", inMilliseconds(key.confirmationAge)},
                 {"limit_ms", inMilliseconds(key.confirmationLimit)},
                 {"term", static_cast<std::int64_t>(key.leaderTerm.value)},
                 {"beacon", static_cast<std::int64_t>(key.beaconCounter)},
                 {"ms", inMilliseconds(loop::now() - request.arrived)}});
    m_counters.countRequest(request.service, request.accountName, code, status);
    const std::chrono::duration<double> seconds = loop::now() - request.arrived;
    m_counters.observeLatency(request.service, seconds.count());
}

void entry_task::beginStop()
{
    LOG(INFO) << "planned stop: " << m_requests.size() << " requests still running";
    m_metrics.post(readiness_changed{false});
    m_server.announceClose();
    run(stop_planned{}); // Other VMs take over while this one serves still.
    m_balancerGrace.arm(m_options.balancerGrace);
}

void entry_task::closeListener()
{
    m_drainLimit.arm(runsLimit());
    m_runsEndAt = loop::now() + runsLimit();
    m_intakeEnd.arm(idleGraceWhenStopping);
    m_server.stop(idleGraceWhenStopping, [this] { finishStop(); });
}

void entry_task::closeIntake()
{
    run(intake_closed{m_runsEndAt});
}

/// Part of the drain limit in which requests may run; the rest is for sending the last answers.
duration entry_task::runsLimit() const
{
    return std::max(m_options.drainLimit - lastAnswersTime, m_options.drainLimit / 2);
}

void entry_task::endRuns()
{
    LOG(WARNING) << "drain limit reached with " << m_requests.size() << " requests still running";
    run(runs_ended{});
    m_lastAnswers.arm(lastAnswersTime);
}

void entry_task::finishStop()
{
    run(stop_requested{}); // No request needs the leases any more: returns what is left of them to their owners.
    m_loop.stop();
}

} // namespace guavafront
