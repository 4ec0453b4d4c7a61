#include "coordination/entry/entry_queue_step.h"

#include <guavafront/coordination/configuration/setting.h>

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace guavafront
{

namespace
{

/// Rate limits of all accounts in a configuration.
limit_table limitTableOf(const configuration &current)
{
    limit_table table{.defaults = {current.defaults.accountRatePerSecond, current.defaults.accountBurst}};
    std::unordered_map<std::string_view, fleet_defaults> excepted;
    for (const setting_exception &each : current.exceptions) {
        const exception_subject subject = parseSubject(each.subject);
        const setting_descriptor *setting = findSetting(each.setting);
        if (subject.type == subject_type::Account && setting != nullptr) {
            setting->write(excepted.try_emplace(subject.name, current.defaults).first->second, each.value);
        }
    }
    for (const account &each : current.accounts) {
        if (const auto found = excepted.find(each.name); found != excepted.end()) {
            table.exceptions[each.id] = {found->second.accountRatePerSecond, found->second.accountBurst};
        }
    }
    return table;
}

void emitEffects(step_context &context, const limit_effects &effects)
{
    for (const limit_send &each : effects.sends) {
        context.effects.emplace_back(each);
    }
    std::vector<account_id> &accountsToRetry = context.state.tokenWaits.accountsToRetry;
    accountsToRetry.insert(accountsToRetry.end(), effects.accountsToRetry.begin(), effects.accountsToRetry.end());
}

take_result takeToken(step_context &context, account_id account, take_phase kind)
{
    if (!context.state.settings.limits.fleetSizeKnown) {
        const take_result result = tryTake(context.state.rateLedger, account, kind, context.now);
        sendLedgerReports(context);
        return result;
    }
    limit_effects effects;
    const take_result result = tryTake(*context.state.rateLimiter, account, kind, context.now, effects);
    emitEffects(context, effects);
    return result;
}

void scheduleRetry(token_waits &waits, account_id account, instant when)
{
    account_token_waits &waiting = waits.byAccount.at(account);
    waits.retries.erase({waiting.retryAt, account});
    waiting.retryAt = when;
    waits.retries.emplace(when, account);
}

void removeTokenWait(token_waits &waits, exchange &request)
{
    const auto waiting = waits.byAccount.find(request.accountId);
    std::erase(waiting->second.queue, request.id);
    if (waiting->second.queue.empty()) {
        waits.retries.erase({waiting->second.retryAt, request.accountId});
        waits.byAccount.erase(waiting);
    }
    waits.expirations.erase({request.tokenWaitEnd, request.id});
    request.tokenWaitEnd = {};
}

result_code refusalCodeOf(const take_result &result)
{
    return result.verdict == take_verdict::Undecided ? result_code::RateUndecided : result_code::OverRate;
}

/// Continues or refuses a request that has stopped waiting for a token.
void concludeTokenWait(step_context &context, exchange &request, const take_result &result)
{
    removeTokenWait(context.state.tokenWaits, request);
    if (result.verdict == take_verdict::Granted) {
        request.stage = exchange_stage::Claim;
        advance(context, request);
        return;
    }
    refuse(context, request, refusalCodeOf(result), execution::NotRun, result.retryAfter);
}

void retryTokenWaits(step_context &context, account_id account)
{
    token_waits &waits = context.state.tokenWaits;
    for (auto waiting = waits.byAccount.find(account); waiting != waits.byAccount.end();
         waiting = waits.byAccount.find(account)) {
        const take_result result = takeToken(context, account, take_phase::Repeated);
        if (result.verdict == take_verdict::Wait) {
            scheduleRetry(waits, account, context.now + result.recheckAfter);
            return;
        }
        concludeTokenWait(context, context.state.exchanges.at(waiting->second.queue.front()), result);
    }
}

} // namespace

void startRateLimiter(step_context &context)
{
    entry &state = context.state;
    if (!state.rateLimiter) {
        state.rateLimiter = startLimiter(state.identity.self, state.settings.limits,
                                         limitTableOf(*state.activeConfiguration), context.now);
    }
}

void updateRateLimiter(step_context &context, const limit_event &event)
{
    if (!context.state.settings.limits.fleetSizeKnown) {
        return; // The ledger enforces the rates instead.
    }
    limit_effects effects;
    step(*context.state.rateLimiter, event, context.now, effects);
    emitEffects(context, effects);
}

void sendLedgerReports(step_context &context)
{
    for (auto &[owner, report] : collectDueReports(context.state.rateLedger, context.now)) {
        context.effects.emplace_back(send_ledger_report{owner, std::move(report)});
    }
}

void applyRateLimits(step_context &context)
{
    context.state.rateLedger.limits = limitTableOf(*context.state.activeConfiguration);
    context.state.rateLedger.configuration = context.state.activeConfiguration->atRevision.value;
    if (!context.state.settings.limits.fleetSizeKnown) {
        return;
    }
    updateRateLimiter(context, limits_changed{limitTableOf(*context.state.activeConfiguration)});
}

stage_verdict takeRateToken(step_context &context, exchange &request)
{
    if (request.accountId == account_id{}) {
        return stage_verdict::Continue;
    }
    const take_result result = takeToken(context, request.accountId, take_phase::First);
    if (result.verdict == take_verdict::Granted) {
        return stage_verdict::Continue;
    }
    if (result.verdict != take_verdict::Wait) {
        return refuse(context, request, refusalCodeOf(result), execution::NotRun, result.retryAfter);
    }
    token_waits &waits = context.state.tokenWaits;
    const limit_settings &settings = context.state.settings.limits;
    request.tokenWaitEnd =
        context.now + (settings.fleetSizeKnown ? settings.waitLimit : context.state.rateLedger.policy.waitLimit);
    waits.byAccount[request.accountId].queue.push_back(request.id);
    waits.expirations.emplace(request.tokenWaitEnd, request.id);
    const instant retryAt = context.now + result.recheckAfter;
    scheduleRetry(waits, request.accountId, std::min(waits.byAccount[request.accountId].retryAt, retryAt));
    return stage_verdict::Park;
}

void leaveTokenWait(entry &state, exchange &request)
{
    if (request.tokenWaitEnd != instant{}) {
        removeTokenWait(state.tokenWaits, request);
        if (state.settings.limits.fleetSizeKnown) {
            // The ledger has nothing to abandon: it gives the granted token to the next request.
            abandonWait(*state.rateLimiter, request.accountId);
        }
    }
}

void endTokenWaits(step_context &context)
{
    auto &retries = context.state.tokenWaits.retries;
    while (!retries.empty() && retries.begin()->first <= context.now) {
        retryTokenWaits(context, retries.begin()->second);
    }
    auto &expirations = context.state.tokenWaits.expirations;
    while (!expirations.empty() && expirations.begin()->first <= context.now) {
        exchange &request = context.state.exchanges.at(expirations.begin()->second);
        concludeTokenWait(context, request, takeToken(context, request.accountId, take_phase::Last));
    }
}

void applyLedgerStatement(step_context &context, const ledger_statement &statement)
{
    applyStatement(context.state.rateLedger, statement, context.now);
    for (const ledger_balance &each : statement.balances) {
        context.state.tokenWaits.accountsToRetry.push_back(each.account);
    }
}

void retryAccounts(step_context &context)
{
    std::vector<account_id> &accountsToRetry = context.state.tokenWaits.accountsToRetry;
    while (!accountsToRetry.empty()) {
        const account_id account = accountsToRetry.back();
        accountsToRetry.pop_back();
        retryTokenWaits(context, account);
    }
}

instant nextRateLimitWake(const entry &state)
{
    instant wake = state.settings.limits.fleetSizeKnown ? nextTick(*state.rateLimiter)
                                                        : nextReport(state.rateLedger).value_or(instant::max());
    if (!state.tokenWaits.expirations.empty()) {
        wake = std::min(wake, state.tokenWaits.expirations.begin()->first);
    }
    if (!state.tokenWaits.retries.empty()) {
        wake = std::min(wake, state.tokenWaits.retries.begin()->first);
    }
    return wake;
}

} // namespace guavafront
