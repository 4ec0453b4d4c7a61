#include <guavafront/coordination/limits/ledger.h>

#include <algorithm>
#include <cmath>

namespace guavafront
{

namespace
{

constexpr double reserveBurstSeconds = 0.3; // Reserved refill that a VM may spend at once when it loses its owner.
constexpr duration idleAccountLifetime = std::chrono::seconds(30); // An account unused for longer is forgotten.
constexpr double minInitialTokens = 3; // Smallest estimate of an account without a statement.

double secondsBetween(instant from, instant to)
{
    return std::chrono::duration<double>(to - from).count();
}

/// Returns the owner with the highest random weight for the account (rendezvous hashing; Thaler and Ravishankar, 1998),
/// or vm_id{} if there is no owner.
vm_id ownerOf(const ledger &state, account_id account)
{
    vm_id best;
    std::uint64_t bestWeight = 0;
    for (const vm_id owner : state.owners) {
        std::uint64_t weight = owner.value ^ (account.value * 0x9e3779b97f4a7c15);
        weight = (weight ^ (weight >> 30)) * 0xbf58476d1ce4e5b9;
        weight ^= weight >> 31;
        if (best.value == 0 || weight > bestWeight) {
            best = owner;
            bestWeight = weight;
        }
    }
    return best;
}

/// Whether the owner answers reports in time. It also counts as reachable if no report is unanswered.
bool isOwnerReachable(const ledger &state, const account_estimate &estimate, instant now)
{
    return estimate.unansweredSince == instant{} || now - estimate.unansweredSince < state.policy.answerTimeout;
}

/// Returns the tokens that this VM may spend by its estimate of the fleet's budget.
double estimateLevel(const ledger &state, const rate_limit &limit, const account_estimate &estimate, instant now)
{
    const double seconds = secondsBetween(estimate.statementAt, now);
    if (isOwnerReachable(state, estimate, now)) {
        // All VMs have statements of the same tokens, so each may spend only its share of them before it asks for more.
        const double part = estimate.level > 0 ? estimate.level * estimate.share : estimate.level;
        return std::min(limit.burst, part + limit.ratePerSecond * estimate.share * seconds)
               - estimate.spentSinceStatement;
    }
    // The other VMs may be spending the rest, so this one spends only its reserved part of the refill. Unspent tokens
    // accumulate up to the burst.
    const double part = limit.ratePerSecond * estimate.reserve;
    const double unreachableSeconds = secondsBetween(estimate.unansweredSince, now);
    return std::min(part * (unreachableSeconds + reserveBurstSeconds), limit.burst) - estimate.spentWithoutOwner;
}

/// Whether requests wait that the owner doesn't know of and no report is unanswered.
bool hasUnreportedWaiting(const account_estimate &estimate)
{
    return estimate.unreportedWaiting > 0 && estimate.unansweredSince == instant{};
}

duration reportPeriodOf(const ledger &state, account_id account, const account_estimate &estimate)
{
    const rate_limit &limit = limitOf(state.limits, account);
    // If all VMs spend like this one, half of the remaining tokens are gone before any of them reports.
    const double noticeable = std::max(1.0, estimate.level / (2 * static_cast<double>(state.spenders)));
    const bool near = !estimate.hasStatement
                      || estimate.level - estimate.spentSinceStatement < limit.burst * state.policy.nearLimitPart
                      || estimate.unreportedSpent > noticeable;
    return near ? state.policy.nearLimitReportPeriod : state.policy.reportPeriod;
}

/// Whether a request should wait for the owner's answer before it is refused.
bool shouldAskOwner(const ledger &state, const account_estimate &estimate, take_phase phase, instant now)
{
    const bool hasFreshStatement =
        estimate.hasStatement && now - estimate.statementAt < state.policy.statementFreshness;
    return phase != take_phase::Last && !hasFreshStatement && !state.owners.empty()
           && isOwnerReachable(state, estimate, now);
}

} // namespace

take_result tryTake(ledger &state, account_id account, take_phase phase, instant now)
{
    const rate_limit &limit = limitOf(state.limits, account);
    const auto [place, isNew] = state.accounts.try_emplace(account);
    account_estimate &estimate = place->second;
    if (isNew) { // Without a statement, each VM starts with an equal part so that together they keep to the burst.
        estimate.level = std::max(minInitialTokens, limit.burst / static_cast<double>(state.spenders));
        estimate.share = 1 / static_cast<double>(state.spenders);
        estimate.reserve = estimate.share * (1 - maxReservedPart);
        estimate.statementAt = now;
        estimate.reportedAt = now - state.policy.reportPeriod;
    }
    estimate.requestsSinceReport += phase == take_phase::First ? 1 : 0;
    if (estimate.grantedTokens > 0) {
        estimate.grantedTokens -= 1;
        return {.verdict = take_verdict::Granted};
    }
    const double left = estimateLevel(state, limit, estimate, now);
    const bool asksOwner = shouldAskOwner(state, estimate, phase, now);
    if (left > 0 && (estimate.hasStatement || !asksOwner)) {
        // Spending beyond the last token is paid back later: the owner subtracts it from the level.
        estimate.spentSinceStatement += 1;
        estimate.unreportedSpent += 1;
        ++estimate.totalSpent;
        estimate.spentWithoutOwner += 1;
        return {.verdict = take_verdict::Granted};
    }
    if (asksOwner) {
        estimate.unreportedWaiting += phase == take_phase::First ? 1 : 0;
        return {.verdict = take_verdict::Wait, .recheckAfter = state.policy.waitLimit};
    }
    const double seconds = (1 - left) / std::max(limit.ratePerSecond, 0.01);
    constexpr double maxRetrySeconds = 10;
    return {.verdict = take_verdict::Refused,
            .retryAfter = std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(std::min(seconds, maxRetrySeconds)))};
}

std::vector<std::pair<vm_id, ledger_report>> collectDueReports(ledger &state, instant now)
{
    std::vector<std::pair<vm_id, ledger_report>> reports;
    for (auto &[account, estimate] : state.accounts) {
        const vm_id owner = ownerOf(state, account);
        const bool closing = estimate.requestsSinceReport == 0 && estimate.hasStatement
                             && now >= estimate.reportedAt + state.policy.closeAfter;
        const bool due = hasUnreportedWaiting(estimate)
                         || (estimate.requestsSinceReport > 0
                             && now >= estimate.reportedAt + reportPeriodOf(state, account, estimate));
        if (owner.value == 0 || (!due && !closing)) {
            continue;
        }
        auto place = std::ranges::find(reports, owner, &std::pair<vm_id, ledger_report>::first);
        if (place == reports.end()) {
            reports.push_back({owner, {.configuration = state.configuration, .entries = {}}});
            place = std::prev(reports.end());
        }
        const rate_limit &limit = limitOf(state.limits, account);
        const double level = estimate.hasStatement ? estimate.level - estimate.spentSinceStatement : limit.burst;
        place->second.entries.push_back({account, limit, estimate.unreportedSpent, closing, level,
                                         estimate.unreportedWaiting, estimate.hasStatement ? estimate.reserve : 0,
                                         estimate.totalSpent, estimate.reservedTotal});
        if (estimate.unansweredSince == instant{}) {
            estimate.unansweredSince = now;
            estimate.spentWithoutOwner = 0;
        }
        estimate.unreportedSpent = 0;
        estimate.unreportedWaiting = 0;
        estimate.requestsSinceReport = 0;
        estimate.reportedAt = now;
        if (closing) {
            estimate.reportedAt = instant{}; // The account is erased below; the next request starts a new estimate.
        }
    }
    std::erase_if(state.accounts, [now](const auto &each) {
        return each.second.requestsSinceReport == 0 && each.second.reportedAt + idleAccountLifetime < now;
    });
    return reports;
}

std::optional<instant> nextReport(const ledger &state)
{
    std::optional<instant> next;
    for (const auto &[account, estimate] : state.accounts) {
        if ((estimate.requestsSinceReport > 0 || estimate.hasStatement) && !state.owners.empty()) {
            const duration period =
                estimate.requestsSinceReport > 0 ? reportPeriodOf(state, account, estimate) : state.policy.closeAfter;
            const instant due = hasUnreportedWaiting(estimate) ? instant{} : estimate.reportedAt + period;
            next = next ? std::min(*next, due) : due;
        }
    }
    return next;
}

void applyStatement(ledger &state, const ledger_statement &statement, instant now)
{
    for (const ledger_balance &balance : statement.balances) {
        const auto found = state.accounts.find(balance.account);
        if (found == state.accounts.end()) {
            continue;
        }
        account_estimate &estimate = found->second;
        estimate.level = balance.level;
        estimate.share = balance.share;
        estimate.reserve = balance.reserve;
        estimate.reservedTotal = balance.reservedTotal;
        estimate.statementAt = now;
        estimate.spentSinceStatement = estimate.unreportedSpent; // The level already includes what was reported.
        estimate.hasStatement = true;
        estimate.unreportedWaiting = 0; // All waiting requests are tried again after this statement.
        estimate.grantedTokens += balance.granted;
        estimate.unansweredSince = {};
    }
}

} // namespace guavafront
