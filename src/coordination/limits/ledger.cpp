#include <guavafront/coordination/limits/ledger.h>

#include <algorithm>
#include <cmath>

namespace guavafront
{

namespace
{

constexpr duration spenderMemory = std::chrono::seconds(2); // A VM that is silent for longer spends nothing.
constexpr double debtSeconds = 2; // More debt than this many seconds of the rate is forgiven.
constexpr duration accountMemory = std::chrono::seconds(30);
constexpr double averageSeconds = 1; // Of a spender's rate.
constexpr duration learningTime = std::chrono::seconds(1); // All VMs that spend have reported by then.

double secondsBetween(instant from, instant to)
{
    return std::chrono::duration<double>(to - from).count();
}

double refilled(const rate_limit &limit, double level, double seconds, double spentPerSecond)
{
    return std::min(limit.burst, level + (limit.ratePerSecond - spentPerSecond) * seconds);
}

/// Highest random weight of an owner for an account (Thaler and Ravishankar, 1998).
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

/// What this VM believes to be left of the whole fleet's budget.
double estimate(const rate_limit &limit, const spent_account &known, instant now)
{
    return refilled(limit, known.level, secondsBetween(known.at, now), known.othersRate) - known.taken;
}

duration periodOf(const ledger &state, account_id account, const spent_account &known)
{
    const rate_limit &limit = limitOf(state.limits, account);
    const bool near = !known.told || known.level - known.taken < limit.burst * state.times.nearShare;
    return near ? state.times.nearPeriod : state.times.farPeriod;
}

void updateSpender(ledger_account::spender &spender, double taken, instant now)
{
    const bool known = spender.reportedAt != instant{} && now - spender.reportedAt < spenderMemory;
    const double seconds = known ? std::max(secondsBetween(spender.reportedAt, now), 0.02) : averageSeconds;
    const double weight = 1 - std::exp(-seconds / averageSeconds);
    spender.rate += (taken / seconds - spender.rate) * weight;
    spender.reportedAt = now;
}

double othersRate(const ledger_account &account, vm_id self, instant now)
{
    double sum = 0;
    for (const auto &[vm, spender] : account.spenders) {
        if (vm != self && now - spender.reportedAt < spenderMemory) {
            sum += spender.rate;
        }
    }
    return sum;
}

ledger_balance bookEntry(ledger_account &account, vm_id from, const ledger_entry &entry, std::uint64_t configuration,
                         instant now)
{
    const bool isNew = account.at == instant{};
    if (isNew || configuration > account.configuration) {
        account.limit = entry.limit;
        account.configuration = configuration;
    }
    if (isNew) {
        account.level = account.limit.burst;
        account.at = now;
        account.since = now;
    }
    if (now - account.since < learningTime) { // A former owner may have told of less.
        account.level = std::min(account.level, entry.level + entry.taken);
    }
    account.level = refilled(account.limit, account.level, secondsBetween(account.at, now), 0) - entry.taken;
    account.level = std::max(account.level, -debtSeconds * account.limit.ratePerSecond);
    account.at = now;
    updateSpender(account.spenders[from], entry.taken, now);
    return {entry.account, account.level, othersRate(account, from, now)};
}

} // namespace

ledger_statement book(ledger_owner &state, vm_id from, const ledger_report &report, instant now)
{
    ledger_statement statement;
    for (const ledger_entry &entry : report.entries) {
        statement.balances.push_back(
            bookEntry(state.accounts[entry.account], from, entry, report.configuration, now));
    }
    std::erase_if(state.accounts, [now](const auto &each) { return each.second.at + accountMemory < now; });
    return statement;
}

take_result take(ledger &state, account_id account, instant now)
{
    const rate_limit &limit = limitOf(state.limits, account);
    const auto [place, isNew] = state.accounts.try_emplace(account);
    spent_account &known = place->second;
    if (isNew) { // Nothing was told yet: an equal part of the burst, so that all VMs together keep to it.
        known.level = std::max(1.0, limit.burst / static_cast<double>(state.spenders));
        known.othersRate = limit.ratePerSecond * (1 - 1 / static_cast<double>(state.spenders));
        known.at = now;
        known.reportedAt = now - state.times.farPeriod;
    }
    known.asked += 1;
    const double left = estimate(limit, known, now);
    if (left >= 1) {
        known.taken += 1;
        known.unreported += 1;
        return {.verdict = take_verdict::Granted};
    }
    const double seconds = (1 - left) / std::max(limit.ratePerSecond, 0.01);
    constexpr double longestSeconds = 10;
    return {.verdict = take_verdict::Refused,
            .retryAfter = std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(std::min(seconds, longestSeconds)))};
}

std::vector<std::pair<vm_id, ledger_report>> dueReports(ledger &state, instant now)
{
    std::vector<std::pair<vm_id, ledger_report>> reports;
    for (auto &[account, known] : state.accounts) {
        const vm_id owner = ownerOf(state, account);
        if (known.asked == 0 || owner.value == 0 || now < known.reportedAt + periodOf(state, account, known)) {
            continue;
        }
        auto place = std::ranges::find(reports, owner, &std::pair<vm_id, ledger_report>::first);
        if (place == reports.end()) {
            reports.push_back({owner, {.configuration = state.configuration, .entries = {}}});
            place = std::prev(reports.end());
        }
        const rate_limit &limit = limitOf(state.limits, account);
        const double level = known.told ? estimate(limit, known, now) : limit.burst;
        place->second.entries.push_back({account, limit, known.unreported, level});
        known.unreported = 0;
        known.asked = 0;
        known.reportedAt = now;
    }
    std::erase_if(state.accounts, [now](const auto &each) {
        return each.second.asked == 0 && each.second.reportedAt + accountMemory < now;
    });
    return reports;
}

std::optional<instant> nextReport(const ledger &state)
{
    std::optional<instant> next;
    for (const auto &[account, known] : state.accounts) {
        if (known.asked > 0 && !state.owners.empty()) {
            const instant due = known.reportedAt + periodOf(state, account, known);
            next = next ? std::min(*next, due) : due;
        }
    }
    return next;
}

void onStatement(ledger &state, const ledger_statement &statement, instant now)
{
    for (const ledger_balance &balance : statement.balances) {
        const auto found = state.accounts.find(balance.account);
        if (found == state.accounts.end()) {
            continue;
        }
        spent_account &known = found->second;
        known.level = balance.level;
        known.othersRate = balance.othersRate;
        known.at = now;
        known.taken = known.unreported; // What was reported is in the level.
        known.told = true;
    }
}

} // namespace guavafront
