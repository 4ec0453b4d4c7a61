#include <guavafront/coordination/limits/ledger.h>

#include <algorithm>
#include <cmath>

namespace guavafront
{

namespace
{

/// A VM that hasn't reported for this long counts as unreachable.
constexpr duration spenderTimeout = std::chrono::seconds(2);
/// A VM that reported at shorter intervals on average counts as unreachable after silenceGaps of them.
constexpr double denseReportGapSeconds = 1;
constexpr double silenceGaps = 4;
constexpr duration minSilence = std::chrono::milliseconds(400);
constexpr double reportGapWeight = 0.4; // Weight of the latest interval in the moving average.
/// A VM that hasn't reported for this long is forgotten, and its reserved part of the refill with it.
constexpr duration reserveLifetime = std::chrono::seconds(15);
constexpr double maxDebtSeconds = 0.5; // Overspending beyond this many seconds of the rate isn't paid back.
constexpr duration idleAccountLifetime = std::chrono::seconds(30); // An account unused for longer is forgotten.
constexpr double rateAverageSeconds = 1; // Time constant of the moving average of a spender's rate.
/// By then every VM that spends has reported to a new owner.
constexpr duration takeoverPeriod = std::chrono::seconds(1);

double secondsBetween(instant from, instant to)
{
    return std::chrono::duration<double>(to - from).count();
}

void updateSpender(ledger_account::spender &spender, double spent, instant now)
{
    const bool recent = spender.reportedAt != instant{} && now - spender.reportedAt < spenderTimeout;
    const double seconds = recent ? std::max(secondsBetween(spender.reportedAt, now), 0.02) : rateAverageSeconds;
    const double weight = 1 - std::exp(-seconds / rateAverageSeconds);
    spender.rate += (spent / seconds - spender.rate) * weight;
    const double gap = recent ? secondsBetween(spender.reportedAt, now) : rateAverageSeconds;
    spender.reportGap += (gap - spender.reportGap) * (recent ? reportGapWeight : 1);
    spender.reportedAt = now;
}

/// Whether the spender reports so often that a short silence shows that it can't reach the owner.
bool reportsOften(const ledger_account::spender &spender)
{
    return spender.reportGap < denseReportGapSeconds;
}

bool isSilent(const ledger_account::spender &spender, instant now)
{
    const duration silence = now - spender.reportedAt;
    if (!reportsOften(spender)) {
        return silence >= spenderTimeout;
    }
    const auto usual =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(silenceGaps * spender.reportGap));
    return silence >= std::clamp(usual, minSilence, spenderTimeout);
}

/// Returns the tokens that a silent spender may have spent since its last report; 0 for others: what it was told that
/// it may spend at once, and its reserve. A spender that reported often has most likely been cut off since then, any
/// other one has had no requests at first.
double tokensReservedFor(const ledger_account &account, const ledger_account::spender &spender, instant now)
{
    if (!isSilent(spender, now)) {
        return 0;
    }
    const double reservedRate = account.limit.ratePerSecond * spender.reserveInForce;
    if (!reportsOften(spender)) {
        return reservedRate * secondsBetween(spender.reportedAt + spenderTimeout, now);
    }
    return std::max(spender.statedTokens, reservedRate * secondsBetween(spender.reportedAt, now));
}

/// Returns the part of the refill that a spender should have while it is unreachable: most of what it spends, and an
/// equal part of a small remainder for all. The parts of all spenders add up to at most maxReservedPart.
double wantedReserve(const ledger_account &account, const ledger_account::spender &spender, instant now)
{
    constexpr double equalReservePart = 0.1; // Divided equally among the spenders.
    double spending = 0;
    for (const auto &[other, each] : account.spenders) {
        spending += isSilent(each, now) ? 0 : each.rate;
    }
    // While the burst is spent, the VMs spend more than the refill.
    const double whole = std::max(spending, account.limit.ratePerSecond);
    const double spentPart = whole > 0 ? spender.rate / whole : 0;
    return (maxReservedPart - equalReservePart) * spentPart
           + equalReservePart / static_cast<double>(account.spenders.size());
}

/// Returns the sum of the reserves that VMs other than this one may hold.
double reservedForOthers(const ledger_account &account, vm_id vm)
{
    double sum = 0;
    for (const auto &[other, spender] : account.spenders) {
        sum += other == vm ? 0 : spender.reserveInForce;
    }
    return sum;
}

/// Returns the sum of the reserves in the latest statements.
double statedReserves(const ledger_account &account)
{
    double sum = 0;
    for (const auto &[vm, spender] : account.spenders) {
        sum += spender.reserve;
    }
    return sum;
}

/// Returns the part of the refill that VMs which haven't reported to this owner may spend by a former owner's word.
double inheritedReserve(const ledger_account &account, instant now)
{
    const bool isOver = now - account.firstReportAt >= reserveLifetime;
    return isOver ? 0 : std::clamp(account.inheritedTotal - account.inheritedKnown, 0.0, maxReservedPart);
}

/// Takes note of what the first report of a VM says of a former owner's reserves.
void recordInheritedReserve(ledger_account &account, const ledger_entry &entry, instant now)
{
    if (now - account.firstReportAt < takeoverPeriod && entry.reservedTotal > 0) {
        ++account.inheritedReports;
        account.inheritedTotal += (entry.reservedTotal - account.inheritedTotal) / account.inheritedReports;
    }
    account.inheritedKnown += entry.reserve;
}

/// Determines a spender's reserve for the next statement. All reserves in force together never exceed maxReservedPart,
/// so that VMs that are cut off together keep to the refill.
void stateReserve(ledger_account &account, vm_id vm, instant now)
{
    ledger_account::spender &spender = account.spenders[vm];
    const double free = maxReservedPart - reservedForOthers(account, vm) - inheritedReserve(account, now);
    // The message has single precision; the comparison with the echo in the next report needs the same number.
    spender.reserve = static_cast<float>(std::clamp(wantedReserve(account, spender, now), 0.0, std::max(free, 0.0)));
    spender.reserveInForce = std::max(spender.reserveInForce, spender.reserve);
}

/// Takes note of the reserve that the spender holds by its report.
void confirmReserve(ledger_account::spender &spender, double held)
{
    spender.reserveInForce = held == spender.reserve ? held : std::max(spender.reserveInForce, held);
}

/// Returns a spender's share of the refill: one half of the refill is divided by spending rate, the other half equally.
/// The shares of all reachable spenders add up to 1.
double shareOf(const ledger_account &account, const ledger_account::spender &own, instant now)
{
    double sum = 0;
    double live = 0;
    for (const auto &[other, spender] : account.spenders) {
        if (now - spender.reportedAt < spenderTimeout) {
            sum += spender.rate;
            live += 1;
        }
    }
    const double equal = 1 / std::max(live, 1.0);
    return sum > 0 ? (own.rate / sum + equal) / 2 : equal;
}

/// Returns the tokens that silent VMs other than this one may have spent from their reserves.
double reservedTokens(const ledger_account &account, vm_id reporter, instant now)
{
    double tokens = 0;
    for (const auto &[vm, spender] : account.spenders) {
        tokens += vm == reporter ? 0 : tokensReservedFor(account, spender, now);
    }
    return tokens;
}

/// Returns the tokens that a VM which reports now may be told of: the level without what silent VMs may have spent.
double availableTokens(const ledger_account &account, double reserved)
{
    return std::max(account.level - reserved, -maxDebtSeconds * account.limit.ratePerSecond);
}

/// Forgets spenders that were silent for reserveLifetime; the tokens that were reserved for them count as spent.
void forgetSilentSpenders(ledger_account &account, instant now)
{
    std::erase_if(account.spenders, [&account, now](const auto &each) {
        const bool isForgotten = each.second.reportedAt + reserveLifetime < now;
        account.level -= isForgotten ? tokensReservedFor(account, each.second, now) : 0;
        return isForgotten;
    });
}

/// Adds the refill since the last report of any VM, up to the burst beside the reserved tokens.
void refill(ledger_account &account, double reserved, instant now)
{
    const double rate = account.limit.ratePerSecond * (1 - inheritedReserve(account, now));
    const double refilled = account.level + rate * secondsBetween(account.levelAt, now);
    account.level = std::min(account.limit.burst + reserved, refilled);
    account.levelAt = now;
}

/// Takes tokens for waiting requests from the budget; VMs are served in the order of their reports.
std::uint32_t grantWaiting(ledger_account &account, std::uint32_t waitingRequests, double reserved)
{
    const double available = availableTokens(account, reserved);
    const auto left = static_cast<std::uint32_t>(std::clamp(available, 0.0, account.limit.burst));
    const std::uint32_t granted = std::min(waitingRequests, left);
    account.level -= granted;
    return granted;
}

/// Returns the tokens that a VM spent since the last report that arrived from it.
double spentSince(const ledger_account &account, vm_id from, const ledger_entry &entry)
{
    const auto known = account.spenders.find(from);
    const bool continues =
        known != account.spenders.end() && known->second.totalSpent > 0 && entry.totalSpent >= known->second.totalSpent;
    return continues ? static_cast<double>(entry.totalSpent - known->second.totalSpent) : entry.spent;
}

ledger_balance applyEntry(ledger_account &account, vm_id from, const ledger_entry &entry, std::uint64_t configuration,
                          instant now)
{
    const bool isNew = account.levelAt == instant{};
    if (isNew || configuration > account.configuration) {
        account.limit = entry.limit;
        account.configuration = configuration;
    }
    if (isNew) {
        account.level = account.limit.burst;
        account.levelAt = now;
        account.firstReportAt = now;
    }
    if (now - account.firstReportAt < takeoverPeriod) { // A former owner may have stated a lower level.
        account.level = std::min(account.level, entry.level + entry.spent);
    }
    forgetSilentSpenders(account, now);
    if (!account.spenders.contains(from)) {
        recordInheritedReserve(account, entry, now);
    }
    const double reserved = reservedTokens(account, from, now);
    refill(account, reserved, now);
    const double spent = spentSince(account, from, entry);
    account.level = std::max(account.level - spent, -maxDebtSeconds * account.limit.ratePerSecond);
    if (entry.closing) {
        account.spenders.erase(from);
        return {entry.account, availableTokens(account, reserved), 0, 0, 0};
    }
    const std::uint32_t granted = grantWaiting(account, entry.waitingRequests, reserved);
    ledger_account::spender &spender = account.spenders[from];
    confirmReserve(spender, entry.reserve);
    updateSpender(spender, spent + granted, now);
    spender.totalSpent = entry.totalSpent;
    stateReserve(account, from, now);
    const double available = availableTokens(account, reserved);
    const double share = shareOf(account, spender, now);
    spender.statedTokens = std::max(available, 0.0) * share;
    const bool tellsReserve = entry.totalSpent > 0;
    const double total = tellsReserve ? statedReserves(account) : 0;
    return {entry.account, available, share, spender.reserve, granted, total};
}

} // namespace

ledger_statement applyReport(ledger_owner &state, vm_id from, const ledger_report &report, instant now)
{
    ledger_statement statement;
    for (const ledger_entry &entry : report.entries) {
        statement.balances.push_back(applyEntry(state.accounts[entry.account], from, entry, report.configuration, now));
    }
    std::erase_if(state.accounts, [now](const auto &each) { return each.second.levelAt + idleAccountLifetime < now; });
    return statement;
}

} // namespace guavafront
