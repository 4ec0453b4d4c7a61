#include "coordination/entry/attempt_evidence.h"

#include <guavafront/coordination/configuration/setting.h>

#include <algorithm>
#include <utility>

namespace guavafront
{

namespace
{

constexpr duration healthUpdateInterval = std::chrono::milliseconds(250);
constexpr duration standingReportInterval = std::chrono::seconds(1);
constexpr std::uint16_t firstServerError = 500;

outcome_kind kindOf(const attempt_result &result)
{
    switch (result.outcome) {
    case attempt_outcome::Answered:
        return result.status >= firstServerError ? outcome_kind::ErrorAnswer : outcome_kind::Answered;
    case attempt_outcome::RefusedNotRun:
        return outcome_kind::Shed;
    case attempt_outcome::ConnectFailed:
        return outcome_kind::ConnectFailed;
    case attempt_outcome::ClosedEarly:
        return outcome_kind::ConnectionLost;
    case attempt_outcome::AnswerIncomplete:
        return outcome_kind::IncompleteAnswer;
    case attempt_outcome::TimedOut:
        return outcome_kind::TimedOut;
    case attempt_outcome::Cancelled:
        break;
    }
    return outcome_kind::Cancelled;
}

void publishDeaths(step_context &context, instance_id instance)
{
    for (const lost_request &death : onInstanceDied(context.state.requestQuarantine, instance, context.now)) {
        context.effects.emplace_back(publish_death{death});
    }
}

/// Whether the connection ended while it carried the request, as when the instance crashes on it.
bool isConnectionLost(const attempt_result &result)
{
    const bool ended =
        result.outcome == attempt_outcome::ClosedEarly || result.outcome == attempt_outcome::AnswerIncomplete;
    return ended && result.mayHaveBeenSent;
}

void updateQuarantine(step_context &context, const exchange &request, const attempt_result &result)
{
    quarantine &requestQuarantine = context.state.requestQuarantine;
    if (isConnectionLost(result)) {
        const lost_request loss{.attempt = {.request = fingerprintOf(request), .instance = request.currentInstance},
                                .account = request.accountId,
                                .route = request.routeId,
                                .lostAt = context.now};
        onConnectionLost(requestQuarantine, loss);
        if (result.outcome == attempt_outcome::ClosedEarly) {
            scheduleProbe(context.state.selection, request.currentInstance, context.now);
        }
    } else if (result.outcome == attempt_outcome::Answered) {
        onInstanceAlive(requestQuarantine, request.currentInstance, context.now - result.latency);
    } else if (result.outcome == attempt_outcome::ConnectFailed) {
        publishDeaths(context, request.currentInstance);
    }
}

/// Records the death of instances that lost a connection and are no longer announced.
void confirmDeaths(step_context &context)
{
    entry &state = context.state;
    std::vector<instance_id> gone;
    for (const lost_request &lost : state.requestQuarantine.unconfirmedLosses) {
        if (!findInstance(state.upstreams, lost.attempt.instance)) {
            gone.push_back(lost.attempt.instance);
        }
    }
    for (const instance_id instance : gone) {
        publishDeaths(context, instance);
    }
    expire(state.requestQuarantine, context.now);
}

/// Records how long the instance worked on an answered request. Errors and failures don't show what a request costs.
void recordServiceTime(step_context &context, const exchange &request, const attempt_result &result)
{
    if (result.outcome != attempt_outcome::Answered || result.status >= firstServerError) {
        return;
    }
    // The wait is estimated by loads that are up to 0.2 s old, so that part of the time always counts as work.
    constexpr int leastWorkPart = 4;
    const duration took = std::max(duration::zero(), result.latency - result.connectTime);
    const duration worked = std::max(took / leastWorkPart, took - request.expectedWait);
    recordWork(context.state.work, workKeyOf(request), worked, context.now);
    if (context.state.selection.policy == balancing_policy::Affinity) {
        addToReport(context.state.ownWork, request.routeId, worked);
    }
}

/// Whether a reused connection was lost sooner than an answer could be expected, so that it was probably closed before.
bool isStaleConnection(const entry &state, const exchange &request, const attempt_result &result)
{
    return !result.newConnection && result.latency * 2 < usualTime(state, request).mean;
}

} // namespace

work_key workKeyOf(const exchange &request)
{
    return {.service = request.service,
            .route = request.routeId,
            .account = request.accountId,
            .bodyBytes = request.bodyBytes};
}

work_estimate usualTime(const entry &state, const exchange &request)
{
    if (doRoutesDiffer(state.work, request.service)) {
        return estimateWork(state.work, workKeyOf(request));
    }
    const candidate_set *candidates = findCandidates(state.selection, state.upstreams, request.service);
    return {.mean = duration(candidates ? static_cast<std::int64_t>(candidates->typicalLatencyUs) : 0), .tail = {}};
}

request_fingerprint fingerprintOf(const exchange &request)
{
    return fingerprintOf(request.accountId, request.routeId, request.digest);
}

bool isRequestQuarantined(const entry &state, const exchange &request)
{
    return isQuarantined(state.requestQuarantine, fingerprintOf(request),
                         state.activeConfiguration->defaults.quarantineDeaths);
}

void reportLoads(step_context &context)
{
    entry &state = context.state;
    if (context.now < nextLoadReport(state.ownLoads)) {
        return;
    }
    state.ownLoads.changed = false;
    state.ownLoads.lastReportAt = context.now;
    std::vector<instance_load> report;
    for (std::size_t index = 0; index < state.selection.services.size(); ++index) {
        const bool withWork = doRoutesDiffer(state.work, state.upstreams.services[index].service);
        collectDueLoads(state.ownLoads, state.selection.services[index].candidates.members, context.now, report,
                        withWork);
    }
    if (!report.empty()) {
        expectSums(state.selection.fleetLoads, context.now);
    }
    std::vector<route_samples> samples = takeDueSamples(state.ownWork, context.now);
    if (!report.empty() || !samples.empty()) {
        context.effects.emplace_back(report_loads{std::move(report), std::move(samples)});
    }
}

void broadcastEvidence(step_context &context, const instance_report &evidence)
{
    if (recordEvidence(context.state.selection, context.state.upstreams, evidence, context.now)) {
        context.effects.emplace_back(broadcast_evidence{evidence});
    }
}

namespace
{

/// Whether the current attempt takes far longer than is usual for its kind. The expected wait behind earlier
/// requests extends the limit, since load is no fault, but at most doubles it, since a slow instance gathers requests,
/// too.
bool isOverdue(const step_context &context, const exchange &request)
{
    constexpr std::int64_t overdueFactor = 4;
    constexpr duration least = std::chrono::milliseconds(1'500);
    constexpr std::int64_t tailFactor = 2; // One in twenty takes longer than the tail, few twice as long.
    const work_estimate usual = usualTime(context.state, request);
    const duration limit = std::max({least, usual.mean * overdueFactor, usual.tail * tailFactor});
    return context.now - request.attemptStartedAt > limit + std::min(request.expectedWait, limit);
}

/// Records what the end of an attempt shows about its instance, and broadcasts what concerns the whole fleet.
void recordOutcome(step_context &context, const exchange &request, const attempt_result &result, outcome_kind kind)
{
    const instance_id instance = request.currentInstance;
    switch (kind) {
    case outcome_kind::Answered:
        if (request.isTrial) {
            broadcastEvidence(context, {instance, instance_report_kind::Recovered});
        }
        return;
    case outcome_kind::ErrorAnswer:
        broadcastEvidence(context, {instance, instance_report_kind::ServerError});
        return;
    case outcome_kind::Shed:
        if (result.wrongInstance) {
            broadcastEvidence(context, {instance, instance_report_kind::Failed});
        } else { // The instance is full, or faulty in a way that does no harm while other instances have free slots.
            markFull(context.state.selection, context.state.upstreams, request.service, instance, context.now);
        }
        return;
    case outcome_kind::ConnectFailed:
        // Not broadcast: possibly only this VM's path is cut, and a failed connection harms no request elsewhere.
        recordOwnFailure(context.state.selection.avoidedInstances, instance, context.now);
        return;
    case outcome_kind::ConnectionLost:
    case outcome_kind::IncompleteAnswer:
        broadcastEvidence(context, {instance, instance_report_kind::Failed});
        return;
    case outcome_kind::TimedOut:
        if (!request.overdueReported && isOverdue(context, request)) {
            broadcastEvidence(context, {instance, instance_report_kind::ServerError});
        }
        return;
    case outcome_kind::Cancelled:
        return;
    }
}

/// Reports each service whose numbers of instances by state have changed since the last report.
void reportStandings(step_context &context)
{
    entry &state = context.state;
    if (context.now < state.nextStandingReport) {
        return;
    }
    state.nextStandingReport = context.now + standingReportInterval;
    reportWarmups(context);
    for (std::size_t index = 0; index < state.selection.services.size(); ++index) {
        const service_instances &group = state.upstreams.services[index];
        const service_instance_counts standing =
            countInstances(state.selection.avoidedInstances, state.selection.notices, group.instances, context.now);
        if (standing != std::exchange(state.selection.services[index].shownCounts, standing)) {
            context.effects.emplace_back(report_standing{group.service, standing});
        }
    }
}

/// Broadcasts evidence against the instances of overdue attempts, once an attempt.
void reportOverdueAttempts(step_context &context)
{
    entry &state = context.state;
    for (auto &[id, request] : state.exchanges) {
        if (request.stage == exchange_stage::Running && !request.overdueReported && isOverdue(context, request)) {
            request.overdueReported = true;
            recordOwnFailure(state.selection.avoidedInstances, request.currentInstance, context.now);
            context.effects.emplace_back(
                broadcast_evidence{{request.currentInstance, instance_report_kind::ServerError}});
        }
    }
}

/// Records what the instance of an attempt said of itself. An answer of another instance at its address says nothing.
void recordNotices(step_context &context, const exchange &request, const attempt_result &result)
{
    entry &state = context.state;
    if (result.wrongInstance) {
        return;
    }
    const instance_id instance = request.currentInstance;
    const registered_instance *known = findInstance(state.upstreams, instance);
    report_notice report{
        .id = request.id, .service = request.service, .instanceName = known ? known->last.name : std::string()};
    if (result.requestedPause > duration::zero()
        && recordPause(state.selection.notices, instance, result.requestedPause, context.now)) {
        report.pause = result.requestedPause;
        context.effects.emplace_back(report);
        report.pause = duration::zero();
    }
    if (!result.instanceLeaves || !markLeaving(state.selection, state.upstreams, instance, context.now)) {
        return;
    }
    context.effects.emplace_back(std::move(report));
    context.effects.emplace_back(drop_connections{instance});
    if (state.selection.policy == balancing_policy::Affinity) {
        context.effects.emplace_back(broadcast_evidence{{instance, instance_report_kind::Leaving}});
    }
}

} // namespace

void recordAttemptEnd(step_context &context, const exchange &request, const attempt_result &result)
{
    entry &state = context.state;
    const outcome attemptOutcome{.instance = request.currentInstance,
                                 .kind = kindOf(result),
                                 .latency = result.latency,
                                 .reusedConnection = !result.newConnection,
                                 .reportedLoad = result.reportedLoad,
                                 .work = request.expectedWork,
                                 .expectedWait = request.expectedWait,
                                 .suspectRequest = isSuspectRequest(state.requestQuarantine, fingerprintOf(request))};
    recordServiceTime(context, request, result);
    finishAttempt(state.selection, state.upstreams, request.service, attemptOutcome, context.now);
    if (state.selection.policy == balancing_policy::Affinity) {
        recordOutcome(context, request, result, attemptOutcome.kind);
        state.ownLoads.changed = true;
    }
    updateQuarantine(context, request, result);
    recordNotices(context, request, result);
    if (attemptOutcome.kind == outcome_kind::TimedOut && attemptOutcome.reusedConnection) {
        context.effects.emplace_back(drop_connections{request.currentInstance});
    }
}

failed_attempt describeFailedAttempt(const step_context &context, const exchange &request, const attempt_result &result,
                                     execution ran)
{
    return {.kind = kindOf(result),
            .ran = ran,
            .repeatable = request.mayBeRepeated,
            // A number of attempts set for the route means that the operator wants retries.
            .staleConnection = request.maxAttempts > 0 || isStaleConnection(context.state, request, result),
            .quarantined = isRequestQuarantined(context.state, request),
            .attemptsMade = static_cast<std::uint32_t>(request.attemptedInstances.size()),
            .timeLeft = request.deadline - context.now};
}

void updateUpstreamHealth(step_context &context)
{
    entry &state = context.state;
    if (context.now < state.nextHealthUpdate) {
        return;
    }
    state.nextHealthUpdate = context.now + healthUpdateInterval;
    confirmDeaths(context);
    removeOldNotices(state.selection.notices, state.upstreams, context.now);
    if (state.selection.policy == balancing_policy::Affinity) {
        reportOverdueAttempts(context);
        removeExpiredRecords(state.selection.avoidedInstances, context.now);
        reportStandings(context);
        return; // Evidence is broadcast immediately with affinity, so no health reports are needed.
    }
    if (const auto report = updateRotation(state.selection, state.upstreams, context.now)) {
        context.effects.emplace_back(publish_health{*report});
    }
}

void updateHealthyFloors(upstream_selection &selection, const configuration &current)
{
    selection.floorPercent = current.defaults.healthyFloorPercent;
    selection.floors.clear();
    for (const setting_exception &exception : current.exceptions) {
        const exception_subject subject = parseSubject(exception.subject);
        if (subject.type != subject_type::Service) {
            continue;
        }
        const std::uint32_t percent = valuesForService(current, subject.name).healthyFloorPercent;
        selection.floors.push_back({std::string(subject.name), percent});
    }
}

void syncSelection(step_context &context)
{
    followRegistry(context.state.selection, context.state.upstreams);
}

} // namespace guavafront
