#include "coordination/entry/entry_queue_step.h"

#include <algorithm>
#include <cassert>

namespace guavafront
{

namespace
{

constexpr std::size_t maxTries = 3;
constexpr duration retryAfterNoUpstream = std::chrono::seconds(1);

/// The serving instance with the fewest running tries of this VM for each slot, untried ones first.
const registered_instance *chooseInstance(const entry &state, const exchange &request)
{
    const registered_instance *best = nullptr;
    double bestLoad = 0;
    for (const registered_instance &each : instancesOf(state.upstreams, request.service)) {
        const bool tried = std::ranges::find(request.tried, each.last.instance) != request.tried.end();
        if (each.last.state != instance_state::Serving || tried) {
            continue;
        }
        const auto running = state.inFlight.find(each.last.instance);
        const double load = running == state.inFlight.end() ? 0.0 : double(running->second) / each.last.slots;
        if (!best || load < bestLoad) {
            best = &each;
            bestLoad = load;
        }
    }
    return best;
}

/// Code of a refusal after a try that brought no answer, when no other try is made.
result_code codeOf(attempt_outcome outcome)
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

bool mayTryAgain(const step_context &context, const exchange &request, const attempt_result &result, bool provedNotRun)
{
    const bool timeLeft = context.now < request.deadline && result.outcome != attempt_outcome::TimedOut
                          && result.outcome != attempt_outcome::Cancelled;
    return timeLeft && !request.callerLeft && request.tried.size() < maxTries
           && (provedNotRun || request.mayBeRepeated);
}

} // namespace

stage_verdict select(step_context &context, exchange &request)
{
    const registered_instance *chosen = chooseInstance(context.state, request);
    if (!chosen) {
        const execution ran = request.sent ? execution::Unknown : execution::NotRun;
        const result_code code = request.sent ? result_code::OutcomeUnknown : result_code::NoUpstream;
        return refuse(context, request, code, ran, retryAfterNoUpstream);
    }
    const announcement &target = chosen->last;
    request.running = target.instance;
    request.tried.push_back(target.instance);
    ++context.state.inFlight[target.instance];
    context.effects.emplace_back(start_attempt{.id = request.id,
                                               .instance = target.instance,
                                               .ip = target.ip,
                                               .port = target.port,
                                               .service = request.service,
                                               .accountName = request.accountName,
                                               .deadline = request.deadline});
    return stage_verdict::Continue;
}

void concludeAttempt(step_context &context, exchange &request, const attempt_result &result)
{
    const auto running = context.state.inFlight.find(request.running);
    assert(running != context.state.inFlight.end());
    if (--running->second == 0) {
        context.state.inFlight.erase(running);
    }
    noteCapacity(context.state, request, result.outcome);
    if (result.outcome == attempt_outcome::Answered) {
        request.sent = true;
        deliver(context, request);
        return;
    }
    const bool provedNotRun = !result.bytesMayHaveLeft || result.outcome == attempt_outcome::RefusedNotRun;
    request.sent = request.sent || !provedNotRun;
    if (mayTryAgain(context, request, result, provedNotRun)) {
        request.stage = exchange_stage::Select;
        advance(context, request);
        return;
    }
    const result_code code = request.sent && provedNotRun ? result_code::OutcomeUnknown : codeOf(result.outcome);
    refuse(context, request, code, request.sent ? execution::Unknown : execution::NotRun, {});
}

} // namespace guavafront
