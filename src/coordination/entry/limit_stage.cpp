#include "coordination/entry/entry_queue_step.h"

#include <guavafront/coordination/configuration/setting.h>

#include <algorithm>

namespace guavafront
{

namespace
{

/// Limits of the accounts in a configuration.
limit_table limitTableOf(const configuration &current)
{
    limit_table table{.defaults = {current.defaults.accountRatePerSecond, current.defaults.accountBurst}};
    std::set<std::string_view> excepted;
    for (const setting_exception &each : current.exceptions) {
        const exception_subject subject = parseSubject(each.subject);
        if (subject.type == subject_type::Account) {
            excepted.insert(subject.name);
        }
    }
    if (excepted.empty()) {
        return table;
    }
    for (const account &each : current.accounts) {
        if (excepted.contains(each.name)) {
            const fleet_defaults values = valuesForAccount(current, each.name);
            table.exceptions[each.id] = {values.accountRatePerSecond, values.accountBurst};
        }
    }
    return table;
}

void emit(step_context &context, const limit_effects &effects)
{
    for (const limit_send &each : effects.sends) {
        context.effects.emplace_back(each);
    }
    std::vector<account_id> &settled = context.state.waits.settled;
    settled.insert(settled.end(), effects.accountsToRetry.begin(), effects.accountsToRetry.end());
}

take_result attempt(step_context &context, account_id account, take_phase kind)
{
    if (!context.state.settings.limits.fleetSizeKnown) {
        const take_result result = tryTake(context.state.budgets, account, kind, context.now);
        reportBudgets(context);
        return result;
    }
    limit_effects effects;
    const take_result result = tryTake(*context.state.limits, account, kind, context.now, effects);
    emit(context, effects);
    return result;
}

void lookAgainAt(token_waits &waits, account_id account, instant when)
{
    account_token_waits &waiting = waits.byAccount.at(account);
    waits.looks.erase({waiting.lookAt, account});
    waiting.lookAt = when;
    waits.looks.emplace(when, account);
}

void removeWait(token_waits &waits, exchange &request)
{
    const auto waiting = waits.byAccount.find(request.owner);
    std::erase(waiting->second.queue, request.id);
    if (waiting->second.queue.empty()) {
        waits.looks.erase({waiting->second.lookAt, request.owner});
        waits.byAccount.erase(waiting);
    }
    waits.ends.erase({request.tokenWaitEnd, request.id});
    request.tokenWaitEnd = {};
}

result_code refusalCode(const take_result &result)
{
    return result.verdict == take_verdict::Undecided ? result_code::RateUndecided : result_code::OverRate;
}

/// Goes on with a request that no longer waits.
void conclude(step_context &context, exchange &request, const take_result &result)
{
    removeWait(context.state.waits, request);
    if (result.verdict == take_verdict::Granted) {
        request.stage = exchange_stage::Claim;
        advance(context, request);
        return;
    }
    refuse(context, request, refusalCode(result), execution::NotRun, result.retryAfter);
}

void retryAccount(step_context &context, account_id account)
{
    token_waits &waits = context.state.waits;
    for (auto waiting = waits.byAccount.find(account); waiting != waits.byAccount.end();
         waiting = waits.byAccount.find(account)) {
        const take_result result = attempt(context, account, take_phase::Repeated);
        if (result.verdict == take_verdict::Wait) {
            lookAgainAt(waits, account, context.now + result.recheckAfter);
            return;
        }
        conclude(context, context.state.exchanges.at(waiting->second.queue.front()), result);
    }
}

} // namespace

void startLimits(step_context &context)
{
    entry &state = context.state;
    if (!state.limits) {
        state.limits =
            startLimiter(state.identity.self, state.settings.limits, limitTableOf(*state.current), context.now);
    }
}

void updateLimits(step_context &context, const limit_event &event)
{
    if (!context.state.settings.limits.fleetSizeKnown) {
        return; // The ledger holds the budgets.
    }
    limit_effects effects;
    step(*context.state.limits, event, context.now, effects);
    emit(context, effects);
}

void reportBudgets(step_context &context)
{
    for (auto &[owner, report] : collectDueReports(context.state.budgets, context.now)) {
        context.effects.emplace_back(send_ledger_report{owner, std::move(report)});
    }
}

void configureLimits(step_context &context)
{
    context.state.budgets.limits = limitTableOf(*context.state.current);
    context.state.budgets.configuration = context.state.current->current.value;
    if (!context.state.settings.limits.fleetSizeKnown) {
        return;
    }
    updateLimits(context, limits_changed{limitTableOf(*context.state.current)});
}

stage_verdict takeFromRate(step_context &context, exchange &request)
{
    if (request.owner == account_id{}) {
        return stage_verdict::Continue;
    }
    const take_result result = attempt(context, request.owner, take_phase::First);
    if (result.verdict == take_verdict::Granted) {
        return stage_verdict::Continue;
    }
    if (result.verdict != take_verdict::Wait) {
        return refuse(context, request, refusalCode(result), execution::NotRun, result.retryAfter);
    }
    token_waits &waits = context.state.waits;
    const limit_settings &settings = context.state.settings.limits;
    request.tokenWaitEnd =
        context.now + (settings.fleetSizeKnown ? settings.waitLimit : context.state.budgets.policy.waitLimit);
    waits.byAccount[request.owner].queue.push_back(request.id);
    waits.ends.emplace(request.tokenWaitEnd, request.id);
    const instant lookAt = context.now + result.recheckAfter;
    lookAgainAt(waits, request.owner, std::min(waits.byAccount[request.owner].lookAt, lookAt));
    return stage_verdict::Park;
}

void leaveTokenWait(entry &state, exchange &request)
{
    if (request.tokenWaitEnd != instant{}) {
        removeWait(state.waits, request);
        if (state.settings.limits.fleetSizeKnown) {
            abandonWait(*state.limits, request.owner); // The ledger gives what was granted to the next request.
        }
    }
}

void endTokenWaits(step_context &context)
{
    auto &looks = context.state.waits.looks;
    while (!looks.empty() && looks.begin()->first <= context.now) {
        retryAccount(context, looks.begin()->second);
    }
    auto &ends = context.state.waits.ends;
    while (!ends.empty() && ends.begin()->first <= context.now) {
        exchange &request = context.state.exchanges.at(ends.begin()->second);
        conclude(context, request, attempt(context, request.owner, take_phase::Last));
    }
}

void takeStatement(step_context &context, const ledger_statement &statement)
{
    applyStatement(context.state.budgets, statement, context.now);
    for (const ledger_balance &each : statement.balances) {
        context.state.waits.settled.push_back(each.account);
    }
}

void settleAccounts(step_context &context)
{
    std::vector<account_id> &settled = context.state.waits.settled;
    while (!settled.empty()) {
        const account_id account = settled.back();
        settled.pop_back();
        retryAccount(context, account);
    }
}

instant nextLimitWake(const entry &state)
{
    instant wake = state.settings.limits.fleetSizeKnown ? nextTick(*state.limits)
                                                        : nextReport(state.budgets).value_or(instant::max());
    if (!state.waits.ends.empty()) {
        wake = std::min(wake, state.waits.ends.begin()->first);
    }
    if (!state.waits.looks.empty()) {
        wake = std::min(wake, state.waits.looks.begin()->first);
    }
    return wake;
}

} // namespace guavafront
