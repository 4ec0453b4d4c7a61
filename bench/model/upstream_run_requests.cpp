#include "model/upstream_run.h"

#include <algorithm>
#include <cmath>

namespace guavafront::bench
{

using namespace std::chrono_literals;

std::size_t upstream_run::dataCentreOf(std::size_t vm) const
{
    return vm / m_options.vmsPerDataCentre;
}

void upstream_run::addVm(std::size_t index)
{
    entry_vm &vm = m_vms.emplace_back();
    vm.known.self = {index + 1};
    vm.selection.self = vm.known.self;
    vm.selection.dataCentre = std::string(1, static_cast<char>('a' + dataCentreOf(index)));
    vm.selection.policy = m_options.policy;
    vm.selection.fleet.vmsInDataCentre = m_options.vmsPerDataCentre;
    vm.selection.fleet.vms = m_options.vmsPerDataCentre * 3;
    vm.selection.startedAt = instant(-1h);
    for (const upstream_instance &each : m_instances) {
        announceTo(vm, each.self);
    }
    for (upstream_service &service : vm.selection.services) {
        for (instance_health &health : service.health.instances) {
            health.servingSince = instant(-1h);
        }
    }
}

void upstream_run::announceTo(entry_vm &vm, const announcement &news)
{
    learn(vm.known, {1'000}, news, m_events.now());
    followRegistry(vm.selection, vm.known);
    vm.idle.resize(m_instances.size());
}

void upstream_run::arrive(request_state request)
{
    m_requests.push_back(std::move(request));
    const std::size_t vm = m_random() % m_vms.size();
    addRetryTokens(*findRetryBudget(m_vms[vm].selection, m_vms[vm].known, serviceName), 10);
    tryOnce(m_requests.size() - 1, vm);
}

request_fingerprint upstream_run::fingerprint(std::size_t request) const
{
    return m_requests[request].poison ? request_fingerprint{1} : request_fingerprint{request + 2};
}

void upstream_run::tryOnce(std::size_t request, std::size_t vmIndex)
{
    entry_vm &vm = m_vms[vmIndex];
    request_state &state = m_requests[request];
    if (m_options.detection == detection_kind::Evidence && isQuarantined(vm.held, fingerprint(request), deaths)) {
        conclude(request, false);
        return;
    }
    const choice_request choice{.tried = state.tried, .repeatable = state.repeatable};
    const auto chosen = selectInstance(vm.selection, vm.known, serviceName, choice, m_random());
    if (!chosen) {
        conclude(request, false);
        return;
    }
    state.tried.push_back(*chosen);
    send(request, vmIndex, static_cast<std::size_t>(chosen->value - 1));
}

duration upstream_run::tripTo(std::size_t vm, std::size_t instance) const
{
    return dataCentreOf(vm) == m_instances[instance].dataCentre ? duration(300us) : m_options.trip;
}

void upstream_run::send(std::size_t request, std::size_t vmIndex, std::size_t instance)
{
    entry_vm &vm = m_vms[vmIndex];
    const std::size_t index = m_tries.size();
    try_state attempt{.request = request, .vm = vmIndex, .instance = instance, .sent = m_events.now()};
    if (vm.idle[instance].empty()) {
        m_tries.push_back(attempt);
        connect(index);
        return;
    }
    attempt.reused = true;
    attempt.silent = vm.idle[instance].back();
    vm.idle[instance].pop_back();
    m_tries.push_back(attempt);
    const bool blocked = isBlocked(vmIndex, instance);
    if (!attempt.silent && !blocked) {
        m_events.after(tripTo(vmIndex, instance) / 2, [this, index] { reach(index); });
    }
    m_events.at(silenceLimit(index), [this, index] { endTry(index, outcome_kind::TimedOut, false); });
}

instant upstream_run::silenceLimit(std::size_t index) const
{
    const try_state &attempt = m_tries[index];
    const request_state &state = m_requests[attempt.request];
    const instant deadline = state.arrived + requestTimeout;
    if (!m_options.replaceSilent || !state.repeatable || !attempt.reused) {
        return deadline;
    }
    const candidate_set &set = m_vms[attempt.vm].selection.services[0].candidates;
    return std::min(deadline, m_events.now() + silenceTimeout(duration(std::int64_t(set.typicalLatencyUs))));
}

void upstream_run::connect(std::size_t index)
{
    const try_state &attempt = m_tries[index];
    const duration trip = tripTo(attempt.vm, attempt.instance);
    if (isBlocked(attempt.vm, attempt.instance)) {
        m_events.after(connectTimeout, [this, index] { endTry(index, outcome_kind::ConnectFailed, true); });
    } else if (!m_instances[attempt.instance].alive) {
        m_events.after(trip, [this, index] { endTry(index, outcome_kind::ConnectFailed, true); });
    } else {
        m_events.after(trip + connectTime + trip / 2, [this, index] { reach(index); });
        const instant deadline = m_requests[attempt.request].arrived + requestTimeout;
        m_events.at(deadline, [this, index] { endTry(index, outcome_kind::TimedOut, false); });
    }
}

void upstream_run::confirmDeath(std::size_t vmIndex, std::size_t at)
{
    for (const lost_request &death :
         onInstanceDied(m_vms[vmIndex].held, m_instances[at].self.instance, m_events.now())) {
        m_events.after(spreadDelay, [this, death] {
            for (entry_vm &vm : m_vms) {
                learnDeath(vm.held, death, m_events.now());
            }
        });
    }
}

void upstream_run::endTry(std::size_t index, outcome_kind kind, bool notRun)
{
    if (m_tries[index].ended) {
        return;
    }
    m_tries[index].ended = true;
    const try_state attempt = m_tries[index];
    entry_vm &vm = m_vms[attempt.vm];
    const request_fingerprint print = fingerprint(attempt.request);
    const outcome news{.instance = m_instances[attempt.instance].self.instance,
                       .kind = kind,
                       .latency = m_events.now() - attempt.sent,
                       .reusedConnection = attempt.reused,
                       .suspectRequest = isSuspectRequest(vm.held, print)};
    finishAttempt(vm.selection, vm.known, serviceName, news, m_events.now());
    judgeByErrors(vm, news);
    keepOrDrop(vm, attempt, kind);
    if (kind == outcome_kind::ConnectionLost) {
        onConnectionLost(vm.held, {.what = {print, news.instance}, .at = m_events.now()});
        scheduleProbe(vm.selection, news.instance, m_events.now());
    }
    if (kind == outcome_kind::Answered) {
        onInstanceAlive(vm.held, news.instance, attempt.sent);
    }
    if (kind == outcome_kind::ConnectFailed && !m_instances[attempt.instance].alive) {
        confirmDeath(attempt.vm, attempt.instance);
    }
    retryOrConclude(attempt, kind, notRun);
}

void upstream_run::judgeByErrors(entry_vm &vm, const outcome &news)
{
    if (m_options.detection == detection_kind::ConsecutiveErrors) {
        onOutcome(vm.errors, news, m_events.now());
        applyTo(vm.errors, vm.selection.services[0].candidates, m_events.now());
    }
}

void upstream_run::keepOrDrop(entry_vm &vm, const try_state &attempt, outcome_kind kind)
{
    const bool whole =
        kind == outcome_kind::Answered || kind == outcome_kind::ErrorAnswer || kind == outcome_kind::Shed;
    if (whole && m_instances[attempt.instance].alive) {
        vm.idle[attempt.instance].push_back(false);
    }
    if (kind == outcome_kind::TimedOut && attempt.reused && m_options.replaceSilent) {
        vm.idle[attempt.instance].clear();
    }
}

void upstream_run::retryOrConclude(const try_state &attempt, outcome_kind kind, bool notRun)
{
    request_state &state = m_requests[attempt.request];
    if (kind == outcome_kind::Answered || kind == outcome_kind::ErrorAnswer) {
        conclude(attempt.request, kind == outcome_kind::Answered);
        return;
    }
    entry_vm &vm = m_vms[attempt.vm];
    const failed_attempt failed{.kind = kind,
                                .ran = notRun ? execution::NotRun : execution::Unknown,
                                .repeatable = state.repeatable,
                                .quarantined = isQuarantined(vm.held, fingerprint(attempt.request), deaths),
                                .attemptsMade = static_cast<std::uint32_t>(state.tried.size()),
                                .timeLeft = state.arrived + requestTimeout - m_events.now()};
    if (shouldRetry(*findRetryBudget(vm.selection, vm.known, serviceName), retry_limits{}, failed)) {
        tryOnce(attempt.request, attempt.vm);
    } else {
        conclude(attempt.request, false);
    }
}

void upstream_run::conclude(std::size_t request, bool good)
{
    const request_state &state = m_requests[request];
    if (state.poison || state.arrived < faultBegin) {
        return;
    }
    ++m_result.requests;
    m_result.failed += good ? 0U : 1U;
    m_latencies.push_back(std::chrono::duration<double, std::milli>(m_events.now() - state.arrived).count());
}

} // namespace guavafront::bench
