#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/limits/limit_settings.h>
#include <guavafront/coordination/limits/limiter.h>

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace guavafront
{

/// Largest sum of the parts of an account's refill that owners state as reserves and that are in force at the same
/// time. VMs without a statement share the rest.
constexpr double maxReservedPart = 0.9;

/// One account in a VM's report to the control VM that owns the account's budget.
struct ledger_entry {
    account_id account;
    rate_limit limit; ///< Limit of the account in the VM's configuration.
    double spent = 0; ///< Tokens that the VM spent since its last report.
    bool closing = false; ///< The VM spends no more tokens until it reports again.
    double level = 0; ///< The VM's estimate of the tokens left; the burst if it has had no statement. A new owner
                      ///< starts with the lowest estimate reported to it.
    std::uint32_t waitingRequests = 0; ///< Requests that began to wait for a token since the last report.
    double reserve = 0; ///< Part of the refill that the VM's latest statement reserves for it; 0 without a statement.
    /// Tokens that the VM spent since it first used the account, except granted ones; 0 if the VM doesn't tell. Unlike
    /// `spent` it includes what was in reports that were lost.
    std::uint64_t totalSpent = 0;
    double reservedTotal = 0; ///< ledger_balance::reservedTotal of the VM's latest statement.
    bool operator==(const ledger_entry &) const = default;
};

/// A VM's report to one owner.
struct ledger_report {
    std::uint64_t configuration = 0; ///< Configuration revision of the limits; the owner uses the newest.
    std::vector<ledger_entry> entries; ///< Accounts whose budgets the receiver owns.
    bool operator==(const ledger_report &) const = default;
};

/// One account in an owner's statement to a VM.
struct ledger_balance {
    account_id account;
    double level = 0; ///< Tokens left of the whole fleet's budget; negative if more was spent than the limit allows.
    double share = 0; ///< Part of the refill that the VM may spend between statements, 0 to 1.
    double reserve = 0; ///< Part of the refill that is reserved for the VM while it can't reach the owner, 0 to 1.
    std::uint32_t granted = 0; ///< Tokens for waiting requests; already subtracted from the level.
    double reservedTotal = 0; ///< Sum of the reserves that all VMs may hold, from which the next owner learns what VMs
                              ///< that it doesn't hear may spend; 0 for a VM that doesn't tell its own reserve.
    bool operator==(const ledger_balance &) const = default;
};

/// An owner's answer to a report.
struct ledger_statement {
    std::vector<ledger_balance> balances; ///< One for each entry of the report, in the same order.
    bool operator==(const ledger_statement &) const = default;
};

/// The owner's state of one account's budget.
struct ledger_account {
    /// A VM that spends from the budget.
    struct spender {
        double rate = 0; ///< Moving average of the tokens spent per second.
        double reportGap = 0; ///< Moving average of the seconds between two reports.
        instant reportedAt{}; ///< When the VM last reported.
        double reserve = 0; ///< Reserved part of the refill in the latest statement to the VM.
        double statedTokens = 0; ///< Tokens that the VM may spend at once by the latest statement.
        std::uint64_t totalSpent = 0; ///< ledger_entry::totalSpent of the latest report.
        double reserveInForce = 0; ///< Largest reserve that the VM may hold now: the latest statement may not have
                                   ///< reached it.
    };

    rate_limit limit; ///< Limit in the newest configuration that a VM reported.
    std::uint64_t configuration = 0; ///< Revision of that configuration.
    double level = 0; ///< Tokens left at levelAt.
    instant levelAt{}; ///< When the level was computed.
    instant firstReportAt{}; ///< When the first report arrived.
    double inheritedTotal = 0; ///< Mean ledger_entry::reservedTotal by a former owner's statements.
    int inheritedReports = 0; ///< Number of reports in that mean.
    double inheritedKnown = 0; ///< Sum of the reserves by a former owner's statements of the VMs that have reported.
    std::unordered_map<vm_id, spender> spenders; ///< VMs that reported lately.
};

/// Budgets that a control VM owns for the fleet. If the VM is lost, a new owner restores them from the next reports.
struct ledger_owner {
    std::unordered_map<account_id, ledger_account> accounts; ///< Accounts that were reported lately.
};

/// Applies a VM's report to the budgets and returns the statement for that VM.
ledger_statement applyReport(ledger_owner &state, vm_id from, const ledger_report &report, instant now);

/// A VM's estimate of one account's budget.
struct account_estimate {
    double level = 0; ///< Tokens left of the fleet's budget in the latest statement.
    double share = 0; ///< ledger_balance::share of the latest statement.
    double reserve = 0; ///< ledger_balance::reserve of the latest statement.
    double reservedTotal = 0; ///< ledger_balance::reservedTotal of the latest statement.
    instant statementAt{}; ///< When the latest statement arrived.
    double spentSinceStatement = 0; ///< Tokens spent at this VM that the level doesn't include.
    double spentWithoutOwner = 0; ///< Tokens spent at this VM since unansweredSince.
    double unreportedSpent = 0; ///< Tokens spent at this VM and not reported yet.
    std::uint64_t totalSpent = 0; ///< Tokens spent at this VM since the estimate began.
    double requestsSinceReport = 0; ///< Requests of the account since the last report.
    std::uint32_t unreportedWaiting = 0; ///< Waiting requests that haven't been reported yet.
    /// Unused tokens that the owner granted to waiting requests; the owner has already subtracted them.
    std::uint32_t grantedTokens = 0;
    instant reportedAt{}; ///< When the last report was sent.
    instant unansweredSince{}; ///< When the oldest unanswered report was sent; instant{} if all are answered.
    bool hasStatement = false; ///< At least one statement has arrived.
};

/// Periods and thresholds of the ledger.
struct ledger_policy {
    duration nearLimitReportPeriod = std::chrono::milliseconds(100); ///< Between reports of an account near its limit.
    duration closeAfter = std::chrono::seconds(3); ///< Without requests for this long, a VM sends a closing report.
    duration reportPeriod = std::chrono::milliseconds(800); ///< Between reports of any other account.
    /// An owner that hasn't answered for this long counts as unreachable.
    duration answerTimeout = std::chrono::milliseconds(400);
    double nearLimitPart = 0.5; ///< An account is near its limit while less than this part of the burst is left.
    /// A statement this recent is current: the owner isn't asked again before a refusal.
    duration statementFreshness = std::chrono::milliseconds(60);
    /// Longest wait of a request for the owner's answer; a few round trips.
    duration waitLimit = std::chrono::milliseconds(120);
};

/// A VM's part in holding accounts to rate and burst when the size of the fleet isn't known. The VM spends from its
/// estimate of the whole fleet's budget, which the owner's statements correct. Without a reachable owner, each VM
/// continues with the part of the refill that was reserved for it (based on the global random drop of Raghavan et al.,
/// 2007, "Cloud control with distributed rate limiting").
struct ledger {
    ledger_policy policy; ///< Periods and thresholds.
    limit_table limits; ///< Limits of the accounts, from the configuration in force.
    std::uint64_t configuration = 0; ///< Revision of the configuration in force.
    std::vector<vm_id> owners; ///< Live control VMs, in order of their ids.
    std::size_t spenders = 1; ///< Number of live VMs that spend tokens, including this one.
    std::unordered_map<account_id, account_estimate> accounts; ///< Accounts with recent requests.
};

/// Tries to take one token. If the estimate shows none, the request waits for the owner's answer unless the latest
/// statement is still fresh, so that no request is refused while another VM leaves tokens unspent.
take_result tryTake(ledger &state, account_id account, take_phase phase, instant now);

/// Returns the reports that are due, one for each owner, and marks them as sent.
std::vector<std::pair<vm_id, ledger_report>> collectDueReports(ledger &state, instant now);

/// Returns when the next report is due; nothing if no account is in use or no owner is known.
std::optional<instant> nextReport(const ledger &state);

/// Corrects the estimates by an owner's statement.
void applyStatement(ledger &state, const ledger_statement &statement, instant now);

} // namespace guavafront
