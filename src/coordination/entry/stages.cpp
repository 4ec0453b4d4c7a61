#include "coordination/entry/entry_queue_step.h"
#include "coordination/entry/urgency_stage.h"

#include <algorithm>
#include <cassert>
#include <vector>

namespace guavafront
{

namespace
{

void forgetRequest(step_context &context, exchange &request)
{
    entry &state = context.state;
    concludeClaim(context, request);
    leaveTokenWait(state, request);
    leaveAdmission(state, request, context.now);
    state.bodyBytes -= request.bodyBytes;
    state.deadlines.erase({request.deadline, request.id});
    state.exchanges.erase(request.id);
}

/// Counts the end of a request for the loss of its service. Trials don't count, so that lost ones cause no more of
/// them.
void recordEnd(step_context &context, const exchange &request, bool served)
{
    if (!request.isTrial) {
        recordRequestEnd(context.state.selection, context.state.upstreams, request.service, served, context.now);
    }
}

/// Whether a refusal says that the instances have no room for the request at present.
bool isForWantOfCapacity(result_code code)
{
    return code == result_code::NoCapacity || code == result_code::NoUpstream || code == result_code::UpstreamRefused
           || code == result_code::ConnectFailed;
}

stage_verdict runStage(step_context &context, exchange &request)
{
    switch (request.stage) {
    case exchange_stage::Limit:
        return takeRateToken(context, request);
    case exchange_stage::Claim:
        return claimIdempotencyKey(context, request);
    case exchange_stage::Admit:
        return queueForSlot(context, request);
    case exchange_stage::Select:
        return selectAndStartAttempt(context, request);
    case exchange_stage::Running:
        break;
    }
    return stage_verdict::Park;
}

} // namespace

void advance(step_context &context, exchange &request)
{
    stage_verdict verdict = runStage(context, request);
    while (verdict == stage_verdict::Continue) {
        request.stage = static_cast<exchange_stage>(static_cast<std::uint8_t>(request.stage) + 1);
        verdict = runStage(context, request);
    }
}

stage_verdict refuse(step_context &context, exchange &request, result_code code, execution ran, duration retryAfter)
{
    assert(ran == execution::Unknown || !request.mayHaveRun);
    if (!request.callerLeft) {
        recordEnd(context, request, false);
        if (context.state.settings.urgencyOrder && retryAfter > duration::zero() && isForWantOfCapacity(code)) {
            retryAfter = boundedRetryAfter(context, request, retryAfter);
        }
        context.effects.emplace_back(
            refuse_request{request.id, {code, ran, retryAfter}, request.service, request.accountName});
    }
    forgetRequest(context, request);
    return stage_verdict::Ended;
}

void deliver(step_context &context, exchange &request, bool succeeded)
{
    if (!request.callerLeft) {
        recordEnd(context, request, succeeded);
        context.effects.emplace_back(deliver_answer{request.id});
    }
    forgetRequest(context, request);
}

void replay(step_context &context, exchange &request, std::span<const std::byte> answer)
{
    if (!request.callerLeft) {
        context.effects.emplace_back(
            replay_answer{request.id, {answer.begin(), answer.end()}, request.service, request.accountName});
    }
    forgetRequest(context, request);
}

void expireRequests(step_context &context)
{
    auto &deadlines = context.state.deadlines;
    while (!deadlines.empty() && deadlines.begin()->first <= context.now) {
        exchange &request = context.state.exchanges.at(deadlines.begin()->second);
        if (request.stage == exchange_stage::Running) {
            // The front end has a timer for the same attempt and may report its end a moment later; that report is
            // ignored.
            context.effects.emplace_back(cancel_attempt{request.id});
            concludeAttempt(context, request, {.outcome = attempt_outcome::TimedOut, .mayHaveBeenSent = true});
        } else {
            const execution ran = request.mayHaveRun ? execution::Unknown : execution::NotRun;
            refuse(context, request, request.mayHaveRun ? result_code::OutcomeUnknown : result_code::DeadlinePassed,
                   ran, {});
        }
    }
}

void endAllRequests(step_context &context)
{
    std::vector<exchange_id> remaining;
    for (const auto &[id, request] : context.state.exchanges) {
        remaining.push_back(id);
    }
    std::ranges::sort(remaining, {}, &exchange_id::value);
    for (const exchange_id id : remaining) {
        const auto found = context.state.exchanges.find(id);
        if (found == context.state.exchanges.end()) {
            continue; // Its claim was waiting for another one of these requests.
        }
        exchange &request = found->second;
        if (request.stage == exchange_stage::Running) {
            context.effects.emplace_back(cancel_attempt{id});
            request.mayHaveRun = true;
        }
        const execution ran = request.mayHaveRun ? execution::Unknown : execution::NotRun;
        refuse(context, request, request.mayHaveRun ? result_code::OutcomeUnknown : result_code::EntryStopping, ran,
               {});
    }
}

} // namespace guavafront
