#include <guavafront/coordination/limits/ledger.h>

#include <algorithm>
#include <cmath>

namespace guavafront
{

namespace
{

constexpr duration spenderMemory = std::chrono::seconds(2); // A VM that is silent for longer is out of reach.
constexpr duration reserveMemory = std::chrono::seconds(15); // Its reserve is kept for so long.
constexpr double reserveSeconds = 0.3; // Of its reserve that a VM out of reach may spend at once.
constexpr double debtSeconds = 0.5; // More debt than this many seconds of the rate is forgiven.
constexpr duration accountMemory = std::chrono::seconds(30);
constexpr double averageSeconds = 1; // Of a spender's rate.
constexpr double firstTokens = 3; // Spent where no owner has answered yet.
constexpr duration learningTime = std::chrono::seconds(1); // All VMs that spend have reported by then.

double secondsBetween(instant from, instant to)
{
    return std::chrono::duration<double>(to - from).count();
}

double refilled(const rate_limit &limit, double level, double seconds)
{
    return std::min(limit.burst, level + limit.ratePerSecond * seconds);
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

/// Whether the owner answers; a VM that has nothing to report counts as in touch.
bool inTouch(const ledger &state, const spent_account &known, instant now)
{
    return known.awaitedSince == instant{} || now - known.awaitedSince < state.times.answerLimit;
}

/// What this VM believes to be left of the whole fleet's budget.
double estimate(const ledger &state, const rate_limit &limit, const spent_account &known, instant now)
{
    const double seconds = secondsBetween(known.at, now);
    if (inTouch(state, known, now)) {
        // All VMs were told of the same tokens; each may spend its part of them and asks for more.
        const double part = known.level > 0 ? known.level * known.share : known.level;
        return std::min(limit.burst, part + limit.ratePerSecond * known.share * seconds) - known.taken;
    }
    // The others may spend the rest meanwhile; a few seconds' worth may pile up.
    const double part = limit.ratePerSecond * known.reserve;
    const double outOfTouch = secondsBetween(known.awaitedSince, now);
    return std::min(part * (outOfTouch + reserveSeconds), limit.burst) - known.takenStale;
}

/// Whether requests wait and the owner hasn't been asked since.
bool isWaiting(const spent_account &known)
{
    return known.wanted > 0 && known.awaitedSince == instant{};
}

duration periodOf(const ledger &state, account_id account, const spent_account &known)
{
    const rate_limit &limit = limitOf(state.limits, account);
    // When all VMs spend like this one, half of what is left is gone before they have reported.
    const double noticeable = std::max(1.0, known.level / (2 * static_cast<double>(state.spenders)));
    const bool near =
        !known.told || known.level - known.taken < limit.burst * state.times.nearShare || known.unreported > noticeable;
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

/// Part of the refill that a spender out of reach goes on with: what it spent before, and a little for chance.
double reserveOf(const ledger_account &account, const ledger_account::spender &spender)
{
    constexpr double spare = 0.1; // All VMs together.
    const double usual = account.limit.ratePerSecond > 0 ? spender.rate / account.limit.ratePerSecond : 0;
    constexpr double kept = 0.85; // Averages err; the sum must not exceed the refill.
    return kept * std::min(1.0, usual) + spare / static_cast<double>(account.spenders.size());
}

/// Tokens a second that are kept for spenders out of reach.
double reservedRate(const ledger_account &account, instant now)
{
    double parts = 0;
    for (const auto &[vm, spender] : account.spenders) {
        if (now - spender.reportedAt >= spenderMemory) {
            parts += reserveOf(account, spender);
        }
    }
    return account.limit.ratePerSecond * std::min(parts, 0.9);
}

/// Tokens that were kept for a spender which was only silent: it reports again, with what it did spend.
double keptFor(const ledger_account &account, vm_id from, instant now)
{
    const auto found = account.spenders.find(from);
    if (found == account.spenders.end() || now - found->second.reportedAt <= spenderMemory) {
        return 0;
    }
    const double seconds = secondsBetween(found->second.reportedAt + spenderMemory, now);
    return account.limit.ratePerSecond * reserveOf(account, found->second) * seconds;
}

/// Half by what each spends, half equal; all parts add up to one.
double shareOf(const ledger_account &account, const ledger_account::spender &own, instant now)
{
    double sum = 0;
    double live = 0;
    for (const auto &[other, spender] : account.spenders) {
        if (now - spender.reportedAt < spenderMemory) {
            sum += spender.rate;
            live += 1;
        }
    }
    const double equal = 1 / std::max(live, 1.0);
    return sum > 0 ? (own.rate / sum + equal) / 2 : equal;
}

/// Tokens for requests that wait, in the order in which VMs ask.
std::uint32_t grantWaiting(ledger_account &account, std::uint32_t wanted)
{
    const auto left = static_cast<std::uint32_t>(std::clamp(account.level, 0.0, account.limit.burst));
    const std::uint32_t granted = std::min(wanted, left);
    account.level -= granted;
    return granted;
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
    std::erase_if(account.spenders, [now](const auto &each) { return each.second.reportedAt + reserveMemory < now; });
    const double seconds = secondsBetween(account.at, now);
    account.level =
        refilled(account.limit, account.level, seconds) - reservedRate(account, now) * seconds - entry.taken;
    account.level = std::min(account.limit.burst, account.level + keptFor(account, from, now));
    account.level = std::max(account.level, -debtSeconds * account.limit.ratePerSecond);
    account.at = now;
    if (entry.closing) {
        account.spenders.erase(from);
        return {entry.account, account.level, 0, 0, 0};
    }
    const std::uint32_t granted = grantWaiting(account, entry.wanted);
    ledger_account::spender &spender = account.spenders[from];
    updateSpender(spender, entry.taken + granted, now);
    return {entry.account, account.level, shareOf(account, spender, now), reserveOf(account, spender), granted};
}

} // namespace

ledger_statement book(ledger_owner &state, vm_id from, const ledger_report &report, instant now)
{
    ledger_statement statement;
    for (const ledger_entry &entry : report.entries) {
        statement.balances.push_back(bookEntry(state.accounts[entry.account], from, entry, report.configuration, now));
    }
    std::erase_if(state.accounts, [now](const auto &each) { return each.second.at + accountMemory < now; });
    return statement;
}

namespace
{

/// Whether the owner is to be asked before a request is refused.
bool isWorthAsking(const ledger &state, const spent_account &known, take_attempt attempt, instant now)
{
    const bool heardJustNow = known.told && now - known.at < state.times.freshFor;
    return attempt != take_attempt::Last && !heardJustNow && !state.owners.empty() && inTouch(state, known, now);
}

} // namespace

take_result take(ledger &state, account_id account, take_attempt attempt, instant now)
{
    const rate_limit &limit = limitOf(state.limits, account);
    const auto [place, isNew] = state.accounts.try_emplace(account);
    spent_account &known = place->second;
    if (isNew) { // Nothing was told yet: an equal part of the burst, so that all VMs together keep to it.
        known.level = std::max(firstTokens, limit.burst / static_cast<double>(state.spenders));
        known.share = 1 / static_cast<double>(state.spenders);
        known.reserve = known.share;
        known.at = now;
        known.reportedAt = now - state.times.farPeriod;
    }
    known.asked += attempt == take_attempt::First ? 1 : 0;
    if (known.granted > 0) {
        known.granted -= 1;
        return {.verdict = take_verdict::Granted};
    }
    const double left = estimate(state, limit, known, now);
    if (inTouch(state, known, now)) {
        known.takenStale = 0;
    }
    const bool asks = isWorthAsking(state, known, attempt, now);
    if (left > 0 && (known.told || !asks)) { // What is spent beyond the last token is paid back: the owner counts it.
        known.taken += 1;
        known.unreported += 1;
        known.takenStale += 1;
        return {.verdict = take_verdict::Granted};
    }
    if (asks) {
        known.wanted += attempt == take_attempt::First ? 1 : 0;
        return {.verdict = take_verdict::Wait, .lookAgainAfter = state.times.waitLimit};
    }
    const double seconds = (1 - left) / std::max(limit.ratePerSecond, 0.01);
    constexpr double longestSeconds = 10;
    return {.verdict = take_verdict::Refused,
            .retryAfter =
                std::chrono::duration_cast<duration>(std::chrono::duration<double>(std::min(seconds, longestSeconds)))};
}

std::vector<std::pair<vm_id, ledger_report>> dueReports(ledger &state, instant now)
{
    std::vector<std::pair<vm_id, ledger_report>> reports;
    for (auto &[account, known] : state.accounts) {
        const vm_id owner = ownerOf(state, account);
        const bool closing = known.asked == 0 && known.told && now >= known.reportedAt + state.times.closeAfter;
        const bool due =
            isWaiting(known) || (known.asked > 0 && now >= known.reportedAt + periodOf(state, account, known));
        if (owner.value == 0 || (!due && !closing)) {
            continue;
        }
        auto place = std::ranges::find(reports, owner, &std::pair<vm_id, ledger_report>::first);
        if (place == reports.end()) {
            reports.push_back({owner, {.configuration = state.configuration, .entries = {}}});
            place = std::prev(reports.end());
        }
        const rate_limit &limit = limitOf(state.limits, account);
        const double level = known.told ? known.level - known.taken : limit.burst;
        place->second.entries.push_back({account, limit, known.unreported, closing, level, known.wanted});
        if (known.awaitedSince == instant{}) {
            known.awaitedSince = now;
        }
        known.unreported = 0;
        known.wanted = 0;
        known.asked = 0;
        known.reportedAt = now;
        if (closing) {
            known.reportedAt = instant{}; // Forgotten below; the next request begins anew.
        }
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
        if ((known.asked > 0 || known.told) && !state.owners.empty()) {
            const duration period = known.asked > 0 ? periodOf(state, account, known) : state.times.closeAfter;
            const instant due = isWaiting(known) ? instant{} : known.reportedAt + period;
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
        known.share = balance.share;
        known.reserve = balance.reserve;
        known.at = now;
        known.taken = known.unreported; // What was reported is in the level.
        known.told = true;
        known.wanted = 0; // What is told now holds for all that wait.
        known.granted += balance.granted;
        known.awaitedSince = {};
    }
}

} // namespace guavafront
