#include "coordination/entry/urgency_stage.h"

#include "coordination/entry/attempt_evidence.h"
#include "coordination/entry/entry_queue_step.h"

#include <algorithm>
#include <optional>

namespace guavafront
{

namespace
{

/// The capacity of a service is counted again after this time. The sums change every 0.1 s.
constexpr duration capacityValidity = std::chrono::milliseconds(50);
/// Bounds of the time to the next try while requests wait.
constexpr duration leastTryInterval = std::chrono::milliseconds(5);
constexpr duration mostTryInterval = std::chrono::milliseconds(50);
/// Least Retry-After of a refusal for want of capacity, by when other requests have ended.
constexpr duration leastRetryAfter = std::chrono::milliseconds(50);

double weightOf(const entry &state, account_id owner)
{
    const rate_limit &limit = limitOf(state.rateLimiter->limits, owner);
    const double weight = limit.ratePerSecond / state.rateLimiter->limits.defaults.ratePerSecond;
    return weight > 0 ? weight : 1;
}

std::uint32_t kindRankOf(const entry &state, const exchange &request)
{
    const auto owner = state.accounts.find(request.accountId);
    return owner == state.accounts.end() ? 0 : rankOfKind(owner->second->kindOrder, request.kind);
}

/// Slots of a service's usable instances and the requests there. An instance that may get a trial counts as one slot.
service_capacity capacityOf(const entry &state, const std::string &service, instant now)
{
    const upstream_selection &selection = state.selection;
    service_capacity capacity;
    capacity.vms = std::max(1U, selection.fleet.vms + selection.fleet.missingVms);
    capacity.current = areSumsCurrent(selection.fleetLoads, now);
    for (const registered_instance &each : instancesOf(state.upstreams, service)) {
        if (!isAvailable(selection.notices, each, now)) {
            continue;
        }
        switch (avoidanceStatusOf(selection.avoidedInstances, each.last.instance, now)) {
        case avoidance_status::Open:
            capacity.slots += each.last.slots;
            capacity.requests += requestsAt(selection.fleetLoads, each.last.instance);
            break;
        case avoidance_status::Trial:
            capacity.slots += 1;
            break;
        case avoidance_status::Avoided:
            break;
        }
    }
    return capacity;
}

void refreshShare(step_context &context, service_admission &admission, const std::string &service)
{
    if (context.now - admission.capacityAt >= capacityValidity) {
        admission.capacity = capacityOf(context.state, service, context.now);
        admission.capacityAt = context.now;
    }
    updateShare(admission.share, admission.capacity, admission.running, !admission.urgent.waiting.empty(), context.now);
}

/// Refuses a request that was taken out of the queue. It hasn't run, since nothing is sent before its turn.
void refuseWaiting(step_context &context, const service_admission &admission, const urgent_request &dropped,
                   admission_refusal reason, duration expected)
{
    exchange &request = context.state.exchanges.at(dropped.id);
    context.effects.emplace_back(
        report_admission_refusal{.service = request.service,
                                 .rank = dropped.rank,
                                 .reason = reason,
                                 .predictedWait = expected,
                                 .left = dropped.deadline - context.now,
                                 .work = dropped.work,
                                 .capacity = admission.capacity,
                                 .limit = admission.share.limit,
                                 .waiting = static_cast<std::uint32_t>(admission.urgent.waiting.size())});
    refuse(context, request, result_code::NoCapacity, execution::NotRun, std::max(expected, leastRetryAfter));
}

/// Takes the waiting request that is admitted now; nothing when the share of the capacity is used up.
std::optional<urgent_request> takeNext(service_admission &admission, instant now)
{
    if (hasShareLeft(admission.share, admission.running)) {
        return takeMostUrgent(admission.urgent, now);
    }
    if (canBorrow(admission.share, admission.running)) {
        return takeBorrower(admission.urgent, drainRate(admission.share), now);
    }
    return std::nullopt;
}

void refuseUnservable(step_context &context, service_admission &admission)
{
    // While every share of a slot is in use the next one is free after about half of a request.
    const double rate = drainRate(admission.share);
    const duration work = admission.urgent.waiting.front().work;
    const auto half = duration(static_cast<std::int64_t>(static_cast<double>(work.count()) / 2 / std::max(rate, 0.01)));
    const duration untilNext =
        std::min(timeToNext(admission.share, admission.running).value_or(half), std::min(half, work));
    for (const urgent_refusal &each :
         takeUnservable(admission.urgent, {.workPerSecond = rate, .untilNext = untilNext}, context.now)) {
        refuseWaiting(context, admission, each.request, admission_refusal::WaitTooLong, each.predictedWait);
    }
}

} // namespace

stage_verdict queueByUrgency(step_context &context, exchange &request)
{
    const auto [place, created] = context.state.admissions.byService.try_emplace(request.service);
    service_admission &admission = place->second;
    if (created) {
        admission.urgent.settings = context.state.settings.admission;
    }
    const exchange_id id = request.id;
    context.state.admissions.servicesToServe.insert(request.service);
    const urgent_request urgent{.id = id,
                                .account = request.accountId,
                                .route = request.routeId,
                                .rank = request.priorityRank,
                                .kindRank = kindRankOf(context.state, request),
                                .weight = weightOf(context.state, request.accountId),
                                .targetEnd = request.targetLatencyEnd,
                                .deadline = request.deadline,
                                .work = estimateWork(context.state.work, workKeyOf(request)).mean};
    for (const urgent_request &each : enqueue(admission.urgent, urgent, context.now)) {
        refuseWaiting(context, admission, each, admission_refusal::QueueFull, each.deadline - context.now);
    }
    return context.state.exchanges.contains(id) ? stage_verdict::Park : stage_verdict::Ended;
}

void admitByUrgency(step_context &context, const std::string &service)
{
    service_admission &admission = context.state.admissions.byService.at(service);
    refreshShare(context, admission, service);
    while (const std::optional<urgent_request> taken = takeNext(admission, context.now)) {
        const urgent_request &next = *taken;
        exchange &request = context.state.exchanges.at(next.id);
        useShare(admission.share, std::chrono::duration<double>(next.work).count(), context.random);
        if (next.predictedWait >= duration::zero()) {
            context.effects.emplace_back(report_admission_wait{.service = service,
                                                               .rank = next.rank,
                                                               .predicted = next.predictedWait,
                                                               .waited = context.now - next.arrived});
        }
        request.admittedAt = context.now;
        request.holdsSlot = true;
        ++admission.running;
        request.stage = exchange_stage::Select;
        advance(context, request);
    }
    admission.nextTryAt = instant::max();
    if (!admission.urgent.waiting.empty()) {
        refuseUnservable(context, admission);
    }
    if (!admission.urgent.waiting.empty()) {
        const duration untilNext = timeToNext(admission.share, admission.running).value_or(mostTryInterval);
        admission.nextTryAt = context.now + std::clamp(untilNext, leastTryInterval, mostTryInterval);
    }
}

void leaveByUrgency(service_admission &admission, exchange &request, instant now)
{
    if (request.holdsSlot) {
        request.holdsSlot = false;
        accrueCredit(admission.share, admission.running, now);
        --admission.running;
        finishUrgent(admission.urgent, request.accountId, now - request.admittedAt, now);
    } else if (request.stage == exchange_stage::Admit) {
        cancelUrgent(admission.urgent, request.id);
    }
}

duration boundedRetryAfter(const step_context &context, const exchange &request, duration retryAfter)
{
    constexpr std::int64_t partOfLeft = 3;
    const duration most = std::min(retryAfter, (request.deadline - context.now) / partOfLeft);
    const std::int64_t spread = most.count() / 3;
    if (spread <= 0) {
        return std::max(most, duration(1'000));
    }
    return most - duration(static_cast<std::int64_t>(context.random() % static_cast<std::uint64_t>(spread)));
}

} // namespace guavafront
