#include "coordination/entry/entry_queue_step.h"
#include "coordination/entry/urgency_stage.h"

#include <algorithm>
#include <limits>

namespace guavafront
{

namespace
{

constexpr duration retryAfterShed = std::chrono::seconds(1);
constexpr duration sweepPeriod = std::chrono::seconds(1);
/// After a service sheds load, its concurrency limit is this fraction of its running requests: the multiplicative
/// decrease of Chiu and Jain, 1989, "Analysis of the increase and decrease algorithms for congestion avoidance in
/// computer networks".
constexpr double shedFactor = 0.8;

/// Number of slots that this VM may use at once. Without available instances all requests pass, since the selection of
/// an instance then refuses them immediately.
std::uint32_t slotsFor(const entry &state, const std::string &service, const service_admission &admission, instant now)
{
    std::uint32_t slots = 0;
    for (const registered_instance &each : instancesOf(state.upstreams, service)) {
        slots += isAvailable(state.selection.notices, each, now) ? each.last.slots : 0;
    }
    if (slots == 0) {
        return std::numeric_limits<std::uint32_t>::max();
    }
    const auto bound = static_cast<std::uint32_t>(std::max(1.0, admission.concurrencyLimit));
    return admission.concurrencyLimit > 0 ? std::min(slots, bound) : slots;
}

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

/// Refuses requests that the queue dropped. None has run, since nothing is sent before a request holds a slot.
void refuseDropped(step_context &context, const admission_effects &effects)
{
    for (const exchange_id id : effects.shed) {
        refuse(context, context.state.exchanges.at(id), result_code::NoCapacity, execution::NotRun, retryAfterShed);
    }
    for (const exchange_id id : effects.expired) {
        refuse(context, context.state.exchanges.at(id), result_code::DeadlinePassed, execution::NotRun, {});
    }
}

void admitIntoFreeSlots(step_context &context, const std::string &service)
{
    service_admission &admission = context.state.admissions.byService.at(service);
    const std::uint32_t slots = slotsFor(context.state, service, admission, context.now);
    while (admission.running < slots) {
        admission_effects effects;
        const auto next = admitNext(admission.queue, context.now, effects);
        refuseDropped(context, effects);
        if (!next) {
            return;
        }
        exchange &request = context.state.exchanges.at(next->id);
        request.admittedAt = context.now;
        request.holdsSlot = true;
        ++admission.running;
        request.stage = exchange_stage::Select;
        advance(context, request);
    }
}

} // namespace

stage_verdict queueForSlot(step_context &context, exchange &request)
{
    if (context.state.settings.urgencyOrder) {
        return queueByUrgency(context, request);
    }
    const auto [place, created] = context.state.admissions.byService.try_emplace(request.service);
    service_admission &admission = place->second;
    if (created) {
        admission.queue.settings = context.state.settings.admission;
    }
    const exchange_id id = request.id;
    context.state.admissions.servicesToServe.insert(request.service);
    admission_effects effects;
    enqueue(admission.queue,
            {.id = id,
             .account = request.accountId,
             .kindRank = kindRankOf(context.state, request),
             .deadline = request.deadline,
             .weight = weightOf(context.state, request.accountId)},
            context.now, effects);
    refuseDropped(context, effects);
    return context.state.exchanges.contains(id) ? stage_verdict::Park : stage_verdict::Ended;
}

void leaveAdmission(entry &state, exchange &request, instant now)
{
    const auto found = state.admissions.byService.find(request.service);
    if (found == state.admissions.byService.end()) {
        return;
    }
    service_admission &admission = found->second;
    if (state.settings.urgencyOrder) {
        leaveByUrgency(admission, request, now);
        if (!admission.urgent.waiting.empty()) {
            state.admissions.servicesToServe.insert(request.service);
        }
        return;
    }
    if (request.holdsSlot) {
        request.holdsSlot = false;
        --admission.running;
        finishService(admission.queue, request.accountId, now - request.admittedAt, now);
        state.admissions.servicesToServe.insert(request.service);
    } else if (request.stage == exchange_stage::Admit) {
        cancelWaiting(admission.queue, request.accountId, request.id);
    }
}

void updateConcurrencyLimit(entry &state, const exchange &request, attempt_outcome outcome)
{
    if (state.settings.urgencyOrder) {
        return; // The share of the capacity bounds the requests, and one instance's refusal says nothing of the others.
    }
    service_admission &admission = state.admissions.byService.at(request.service);
    if (outcome == attempt_outcome::RefusedNotRun) {
        admission.concurrencyLimit = std::max(1.0, shedFactor * admission.running);
    } else if (outcome == attempt_outcome::Answered && admission.concurrencyLimit > 0) {
        admission.concurrencyLimit += 1 / admission.concurrencyLimit;
    }
}

void checkAllAdmissions(step_context &context)
{
    entry_admissions &admissions = context.state.admissions;
    const bool sweep = context.now - admissions.sweptAt >= sweepPeriod;
    for (auto &[service, admission] : admissions.byService) {
        if (sweep) {
            admission_effects effects;
            dropExpired(admission.queue, context.now, effects);
            refuseDropped(context, effects);
            removeIdle(admission.urgent, context.now);
        }
        if (admission.queue.waitingCount > 0 || !admission.urgent.waiting.empty()) {
            admissions.servicesToServe.insert(service);
        }
    }
    admissions.sweptAt = sweep ? context.now : admissions.sweptAt;
}

void drainQueues(step_context &context)
{
    std::set<std::string> &services = context.state.admissions.servicesToServe;
    retryAccounts(context);
    while (!services.empty()) {
        const std::string service = *services.begin();
        services.erase(services.begin());
        if (context.state.settings.urgencyOrder) {
            admitByUrgency(context, service);
        } else {
            admitIntoFreeSlots(context, service);
        }
        retryAccounts(context);
    }
}

} // namespace guavafront
