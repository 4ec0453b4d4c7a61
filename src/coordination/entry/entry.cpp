#include <guavafront/coordination/entry/entry.h>

#include "coordination/entry/entry_step.h"

#include <algorithm>
#include <cassert>
#include <optional>

namespace guavafront
{

namespace
{

void takeConfiguration(entry &state, std::shared_ptr<const configuration> value)
{
    assert(value);
    if (state.current && value->current < state.current->current) {
        return; // Revisions on a VM only go up.
    }
    state.current = std::move(value);
    state.routes = buildRouteTable(state.current->routes);
    state.keys = buildKeyTable(state.current->keys);
    state.accounts.clear();
    for (const account &each : state.current->accounts) {
        state.accounts.emplace(each.id, &each);
    }
}

void handle(step_context &context, const request_arrived &event)
{
    acceptRequest(context, event.head);
}

void handle(step_context &context, const attempt_ended &event)
{
    const auto found = context.state.exchanges.find(event.id);
    if (found != context.state.exchanges.end() && found->second.stage == exchange_stage::Running) {
        concludeAttempt(context, found->second, event.result);
    }
}

void handle(step_context &context, const caller_left &event)
{
    const auto found = context.state.exchanges.find(event.id);
    if (found == context.state.exchanges.end()) {
        return;
    }
    exchange &request = found->second;
    request.callerLeft = true;
    // A request that may not be repeated runs to its end, so that a resend can be told its outcome.
    if (request.stage != exchange_stage::Running || request.mayBeRepeated) {
        if (request.stage == exchange_stage::Running) {
            context.effects.emplace_back(cancel_attempt{request.id});
            concludeAttempt(context, request, {.outcome = attempt_outcome::Cancelled, .bytesMayHaveLeft = true});
        } else {
            refuse(context, request, result_code::DeadlinePassed, execution::NotRun, {});
        }
    }
}

void handle(step_context &context, const configuration_changed &event)
{
    takeConfiguration(context.state, event.value);
}

void handle(step_context &context, const freshness_changed &event)
{
    context.state.freshness = event;
}

void handle(step_context &context, const instance_announced &event)
{
    updateUpstreams(context, event);
}

void handle(step_context &context, const instance_learned &event)
{
    updateUpstreams(context, event);
}

void handle(step_context &context, const instance_forgotten &event)
{
    updateUpstreams(context, event);
}

void handle(step_context &context, const hearer_changed &event)
{
    updateUpstreams(context, event);
}

void handle(step_context &context, const stop_requested & /*event*/)
{
    context.state.stopping = true;
}

void handle(step_context &context, const time_passed & /*event*/)
{
    expireRequests(context);
    expireInstances(context);
}

std::optional<instant> nextWake(const entry &state)
{
    std::optional<instant> next = nextExpiry(state.upstreams);
    if (!state.deadlines.empty()) {
        const instant deadline = state.deadlines.begin()->first;
        next = next ? std::min(*next, deadline) : deadline;
    }
    return next;
}

} // namespace

entry makeEntry(entry_identity identity)
{
    entry state;
    state.upstreams.self = identity.self;
    state.identity = std::move(identity);
    takeConfiguration(state, std::make_shared<const configuration>());
    return state;
}

void step(entry &state, const entry_event &event, instant now, std::mt19937_64 &random,
          std::vector<entry_effect> &effects)
{
    step_context context{.state = state, .now = now, .random = random, .effects = effects};
    std::visit([&context](const auto &each) { handle(context, each); }, event);
    if (const std::optional<instant> wake = nextWake(state)) {
        effects.emplace_back(wake_at{*wake});
    }
}

} // namespace guavafront
