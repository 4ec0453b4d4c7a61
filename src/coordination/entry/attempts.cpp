#include "coordination/entry/attempt_evidence.h"
#include "coordination/entry/entry_queue_step.h"

#include <algorithm>
#include <optional>
#include <span>

namespace guavafront
{

namespace
{

constexpr std::uint16_t firstServerError = 500;
constexpr duration minAffinitySilenceLimit = std::chrono::seconds(3);
constexpr duration retryAfterNoUpstream = std::chrono::seconds(1);
/// Callers of a service whose instances are all in evacuated data centres return spread over this time.
constexpr duration evacuatedRetrySpread = std::chrono::seconds(1);
/// Callers who wait for the end of a pause return within this time after it.
constexpr duration pauseEndSpread = std::chrono::milliseconds(300);
/// An attempt's deadline is this much before its request's, so that the end of the attempt is reported first.
constexpr duration attemptMargin = std::chrono::milliseconds(2);

/// Result code of a request whose last attempt brought no answer.
result_code refusalCodeOf(attempt_outcome outcome)
{
    switch (outcome) {
    case attempt_outcome::RefusedNotRun:
        return result_code::UpstreamRefused;
    case attempt_outcome::ConnectFailed:
        return result_code::ConnectFailed;
    case attempt_outcome::AnswerIncomplete:
        return result_code::AnswerIncomplete;
    case attempt_outcome::Answered:
    case attempt_outcome::ClosedEarly:
    case attempt_outcome::TimedOut:
    case attempt_outcome::Cancelled:
        break;
    }
    return result_code::OutcomeUnknown;
}

bool mayRetry(step_context &context, const exchange &request, const failed_attempt &failed)
{
    retry_budget *budget = findRetryBudget(context.state.selection, context.state.upstreams, request.service);
    if (request.maxAttempts > 0 && request.sentAttempts >= request.maxAttempts) {
        return false;
    }
    if (!budget || request.callerLeft) {
        return false;
    }
    const retry_decision decision = decideRetry(*budget, retry_limits{}, failed);
    if (decision == retry_decision::BudgetSpent) {
        context.effects.emplace_back(
            report_retry_refused{request.id, request.service, budget->tokens, budget->capacity});
    }
    return decision == retry_decision::Retry;
}

/// Whether an attempt that is given up after the time leaves enough for another one. A limit later than that would only
/// end a slow answer early, for example while a planned stop allows no further attempt.
bool leavesTimeForRetry(const step_context &context, const exchange &request, duration time)
{
    constexpr int parts = 4; // One of them is left for the other attempt.
    return time <= (request.deadline - context.now) * (parts - 1) / parts;
}

/// Whether the retry budget of the request's service has a token left.
bool hasRetryToken(const step_context &context, const exchange &request)
{
    const retry_budget *budget = findRetryBudget(context.state.selection, context.state.upstreams, request.service);
    return budget && budget->tokens >= 1;
}

/// Whether another attempt can follow the one that begins now, as far as the route and the retry budget tell.
bool canBeFollowed(const step_context &context, const exchange &request)
{
    const bool isLast = request.maxAttempts > 0 && request.sentAttempts + 1 >= request.maxAttempts;
    return !isLast && hasRetryToken(context, request);
}

/// How long a repeatable request waits for an answer on a reused connection, which may be dead without having been
/// closed; 0 for no limit but the deadline.
duration silenceLimitFor(const step_context &context, const exchange &request)
{
    constexpr int tailFactor = 2; // One in twenty takes longer than the tail, few twice as long.
    if (!request.mayBeRepeated || !findCandidates(context.state.selection, context.state.upstreams, request.service)) {
        return {};
    }
    const work_estimate usual = usualTime(context.state, request);
    const duration silence = std::max(silenceTimeout(usual.mean), usual.tail * tailFactor);
    if (context.state.selection.policy == balancing_policy::Affinity) {
        // With affinity a VM sees few answers, so a short limit would be a guess. The expected wait is added, since a
        // request that waits in the instance's queue doesn't mean a dead connection.
        const duration least = std::max(silence, minAffinitySilenceLimit);
        const duration limit = least + std::min(request.expectedWait, least);
        const bool isUseful = leavesTimeForRetry(context, request, limit) && canBeFollowed(context, request);
        return isUseful ? limit : duration::zero();
    }
    return silence;
}

/// Credits the service's retry budget on a request's first attempt.
void creditRetryBudget(const step_context &context, const exchange &request)
{
    if (request.attemptedInstances.empty()) {
        creditRetryBudget(context.state.selection, context.state.upstreams, request.service,
                          context.state.activeConfiguration->defaults.retryBudgetPercent, context.now);
    }
}

/// Time until an instance of the service that has asked for a pause may get requests again; 0 when another one may get
/// them now or there is none.
duration pauseLeft(const step_context &context, std::string_view service)
{
    const instance_notices &notices = context.state.selection.notices;
    instant earliest = instant::max();
    for (const registered_instance &each : instancesOf(context.state.upstreams, service)) {
        if (isUsable(notices, each)) {
            earliest = std::min(earliest, pausedUntil(notices, each.last.instance));
        }
    }
    return earliest == instant::max() ? duration::zero() : std::max(duration::zero(), earliest - context.now);
}

/// The time, longer by a random part of at most spread, so that callers don't all return at once.
duration withSpread(const step_context &context, duration time, duration spread)
{
    return time + duration(static_cast<std::int64_t>(context.random() % static_cast<std::uint64_t>(spread.count())));
}

/// Time after which a caller may resend a request that didn't run: about when a slot becomes free.
duration retryAfterNotRun(const step_context &context, const exchange &request)
{
    if (const duration left = pauseLeft(context, request.service); left > duration::zero()) {
        return withSpread(context, left, pauseEndSpread);
    }
    constexpr duration least = std::chrono::milliseconds(200);
    constexpr duration most = std::chrono::milliseconds(800);
    const candidate_set *candidates = findCandidates(context.state.selection, context.state.upstreams, request.service);
    const duration usual(candidates ? static_cast<std::int64_t>(candidates->typicalLatencyUs) : 0);
    const duration pause = std::clamp(usual, least, most);
    return withSpread(context, pause, pause);
}

/// Time after which a caller may resend a request for which no instance could be chosen.
duration retryAfterNoInstance(const step_context &context, const exchange &request)
{
    const duration left = pauseLeft(context, request.service);
    if (left > duration::zero()) {
        return withSpread(context, left, pauseEndSpread);
    }
    if (const auto turn =
            nextWarmupTurn(context.state.selection, context.state.upstreams, request.service, context.now)) {
        return withSpread(context, *turn - context.now, pauseEndSpread);
    }
    // An evacuation refuses all callers of a service at the same time.
    const bool evacuated = evacuatedInstancesOf(context.state.selection, context.state.upstreams, request.service) > 0;
    return evacuated ? withSpread(context, retryAfterNoUpstream, evacuatedRetrySpread) : retryAfterNoUpstream;
}

/// Whether an attempt that begins now and fails can be followed by another one as far as the route and the time left
/// allow it.
bool hasRoomForRetry(const step_context &context, const exchange &request)
{
    constexpr int usualTimes = 4; // Two attempts, each of which takes up to twice the usual time.
    const duration usual = usualTime(context.state, request).mean;
    return request.maxAttempts != 1 && request.deadline - context.now > usualTimes * usual;
}

/// Whether an attempt that begins now is likely to end before a planned stop cuts it.
bool canEndBeforeStop(const step_context &context, const exchange &request)
{
    constexpr int usualTimes = 2;
    const duration usual = usualTime(context.state, request).mean;
    return context.state.runsEndAt == instant::max() || context.now + usualTimes * usual < context.state.runsEndAt;
}

stage_verdict refuseSelection(step_context &context, exchange &request, result_code code, duration retryAfter)
{
    const execution ran = request.mayHaveRun ? execution::Unknown : execution::NotRun;
    return refuse(context, request, request.mayHaveRun ? result_code::OutcomeUnknown : code, ran, retryAfter);
}

/// Result code of a request for which no instance could be chosen.
result_code codeWithoutInstance(const entry &state, const exchange &request)
{
    const std::span<const registered_instance> known = instancesOf(state.upstreams, request.service);
    const bool serving = std::ranges::any_of(known, [&state, &request](const registered_instance &each) {
        return isUsable(state.selection.notices, each)
               && std::ranges::find(request.attemptedInstances, each.last.instance) == request.attemptedInstances.end();
    });
    return serving ? result_code::NoCapacity : result_code::NoUpstream;
}

} // namespace

namespace
{

/// Chooses an instance by the VM's balancing policy; nothing when there is none to send the request to.
std::optional<instance_id> chooseInstance(step_context &context, exchange &request, const choice_request &choice)
{
    entry &state = context.state;
    request.isTrial = false;
    request.trialReason = trial_reason::None;
    request.isCold = false;
    if (state.selection.policy != balancing_policy::Affinity) {
        return selectInstance(state.selection, state.upstreams, request.service, choice, context.random());
    }
    const auto chosen = selectByAffinity(state.selection, state.upstreams, request.service, choice, context.now);
    if (!chosen) {
        return std::nullopt;
    }
    request.isTrial = chosen->choice.trial;
    request.trialReason = chosen->choice.reason;
    request.isCold = chosen->cold;
    request.expectedWait = chosen->expectedWait;
    state.ownLoads.changed = true;
    if (chosen->choice.trial) {
        broadcastEvidence(context, {chosen->choice.instance, instance_report_kind::TrialStarted});
    }
    return chosen->choice.instance;
}

/// Counts the request if its service has instances in an evacuated data centre.
void countEvacuatedRequest(step_context &context, const exchange &request, bool placed)
{
    if (evacuatedInstancesOf(context.state.selection, context.state.upstreams, request.service) > 0) {
        context.effects.emplace_back(count_evacuated_request{request.service, placed});
    }
}

} // namespace

stage_verdict selectAndStartAttempt(step_context &context, exchange &request)
{
    if (isRequestQuarantined(context.state, request)) {
        return refuseSelection(context, request, result_code::RequestQuarantined, {});
    }
    if (!canEndBeforeStop(context, request)) {
        return refuseSelection(context, request, result_code::EntryStopping, {});
    }
    creditRetryBudget(context, request);
    std::vector<instance_id> excluded = request.attemptedInstances;
    appendPaused(context.state.selection.notices, context.now, excluded);
    const bool roomForRetry = hasRoomForRetry(context, request);
    const bool tokenLeft = hasRetryToken(context, request);
    const work_key key = workKeyOf(request);
    request.expectedWork =
        isWorkKnown(context.state.work, key) ? estimateWork(context.state.work, key).mean : duration();
    const choice_request choice{.excluded = excluded,
                                .repeatable = request.mayBeRepeated,
                                .retry = !request.attemptedInstances.empty(),
                                .mayBeRetried = roomForRetry && tokenLeft,
                                .retryBudgetSpent = roomForRetry && !tokenLeft,
                                .work = request.expectedWork,
                                .byWork = doRoutesDiffer(context.state.work, request.service)};
    const std::optional<instance_id> chosen = chooseInstance(context, request, choice);
    countEvacuatedRequest(context, request, chosen.has_value());
    if (!chosen) {
        return refuseSelection(context, request, codeWithoutInstance(context.state, request),
                               retryAfterNoInstance(context, request));
    }
    const announcement &target = findInstance(context.state.upstreams, *chosen)->last;
    request.currentInstance = target.instance;
    request.attemptedInstances.push_back(target.instance);
    request.attemptStartedAt = context.now;
    request.overdueReported = false;
    context.effects.emplace_back(start_attempt{.id = request.id,
                                               .instance = target.instance,
                                               .ip = target.ip,
                                               .port = target.port,
                                               .instanceName = target.name,
                                               .service = request.service,
                                               .accountName = request.accountName,
                                               .keyAccepted = request.keyAccepted,
                                               .deadline = request.deadline - attemptMargin,
                                               .trial = request.isTrial,
                                               .trialReason = request.trialReason,
                                               .cold = request.isCold,
                                               .silenceLimit = silenceLimitFor(context, request),
                                               .placement = {.byWork = choice.byWork,
                                                             .expectedWork = request.expectedWork,
                                                             .expectedWait = request.expectedWait}});
    return stage_verdict::Continue;
}

void concludeAttempt(step_context &context, exchange &request, const attempt_result &result)
{
    if (result.requestedPause
        == duration::zero()) { // The pause takes the instance's slots away; the others are not overloaded.
        updateConcurrencyLimit(context.state, request, result.outcome);
    }
    request.sentAttempts += result.mayHaveBeenSent ? 1 : 0;
    recordAttemptEnd(context, request, result);
    const execution erred = execution::Unknown;
    const bool retriedError = result.outcome == attempt_outcome::Answered && result.status >= firstServerError
                              && request.mayBeRepeated && request.maxAttempts > 0;
    if (retriedError && mayRetry(context, request, describeFailedAttempt(context, request, result, erred))) {
        request.mayHaveRun = true;
        request.stage = exchange_stage::Select;
        advance(context, request);
        return;
    }
    if (result.outcome == attempt_outcome::Answered) {
        request.mayHaveRun = true;
        deliver(context, request, result.status < firstServerError);
        return;
    }
    const bool provedNotRun = !result.mayHaveBeenSent || result.outcome == attempt_outcome::RefusedNotRun;
    request.mayHaveRun = request.mayHaveRun || !provedNotRun;
    const execution lastRan = provedNotRun ? execution::NotRun : execution::Unknown;
    if (mayRetry(context, request, describeFailedAttempt(context, request, result, lastRan))) {
        request.stage = exchange_stage::Select;
        advance(context, request);
        return;
    }
    const result_code code =
        request.mayHaveRun && provedNotRun ? result_code::OutcomeUnknown : refusalCodeOf(result.outcome);
    if (request.mayHaveRun) {
        refuse(context, request, code, execution::Unknown, {});
    } else {
        refuse(context, request, code, execution::NotRun, retryAfterNotRun(context, request));
    }
}

} // namespace guavafront
