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

/// What a VM tells an account's owner.
struct ledger_entry {
    account_id account; ///< The account.
    rate_limit limit; ///< As configured at the VM.
    double spent = 0; ///< Tokens spent since the last report.
    bool closing = false; ///< The VM spends nothing any more until it reports again.
    double level = 0; ///< The VM's estimate of what is left, the burst when it was told nothing; a new owner begins
                      ///< with the lowest.
    std::uint32_t waitingRequests = 0; ///< Requests that wait at the VM for a token.
    bool operator==(const ledger_entry &) const = default; ///< Memberwise equality.
};

/// Report of one VM to one owner.
struct ledger_report {
    std::uint64_t configuration = 0; ///< Revision that the limits are of; the newest one's count.
    std::vector<ledger_entry> entries; ///< Accounts that the owner keeps.
    bool operator==(const ledger_report &) const = default; ///< Memberwise equality.
};

/// What an owner tells a VM of one account.
struct ledger_balance {
    account_id account; ///< The account.
    double level = 0; ///< Tokens left of the whole fleet's budget; below 0 when more was spent.
    double share = 0; ///< Part of the refill that the VM may count on between statements, 0 to 1.
    double reserve = 0; ///< Part of the refill that is kept for the VM while it doesn't reach the owner, 0 to 1.
    std::uint32_t granted = 0; ///< Tokens for requests that wait; the level is without them.
    bool operator==(const ledger_balance &) const = default; ///< Memberwise equality.
};

/// Answer to a report.
struct ledger_statement {
    std::vector<ledger_balance> balances; ///< In the report's order.
    bool operator==(const ledger_statement &) const = default; ///< Memberwise equality.
};

/// One account at its owner.
struct ledger_account {
    struct spender {
        double rate = 0; ///< Tokens a second, moving average.
        instant reportedAt{}; ///< Last report.
    };

    rate_limit limit; ///< Of the newest configuration heard of.
    std::uint64_t configuration = 0; ///< Its revision.
    double level = 0; ///< Tokens left.
    instant levelAt{}; ///< When level was worked out.
    instant firstReportAt{}; ///< First report.
    std::unordered_map<vm_id, spender> spenders; ///< VMs that report.
};

/// Budgets that a control VM keeps for the fleet. What is lost with it comes back with the VMs' next reports.
struct ledger_owner {
    std::unordered_map<account_id, ledger_account> accounts; ///< Reported lately.
};

/// Books a report; what the VM is to be told.
ledger_statement applyReport(ledger_owner &state, vm_id from, const ledger_report &report, instant now);

/// One account at a VM that spends.
struct account_estimate {
    double level = 0; ///< Tokens left of the fleet's budget when last told.
    double share = 0; ///< As told.
    double reserve = 0; ///< As told.
    instant statementAt{}; ///< When the owner told.
    double spentSinceStatement = 0; ///< Spent here since.
    double spentWithoutOwner = 0; ///< Spent here since the owner was out of touch.
    double unreportedSpent = 0; ///< Spent here and not reported yet.
    double requestsSinceReport = 0; ///< Requests since the last report.
    std::uint32_t unreportedWaiting = 0; ///< Requests that wait and that no report has told of yet.
    std::uint32_t grantedTokens = 0; ///< Tokens that the owner gave for requests that wait, booked there already.
    instant reportedAt{}; ///< Last report.
    instant unansweredSince{}; ///< When the oldest report without an answer left; the beginning of time for none.
    bool hasStatement = false; ///< The owner has told at least once.
};

/// Times of the ledger.
struct ledger_policy {
    duration nearLimitReportPeriod =
        std::chrono::milliseconds(100); ///< Between reports of an account that is near its limit.
    duration closeAfter = std::chrono::seconds(3); ///< A VM that is asked for nothing so long says that it is done.
    duration reportPeriod = std::chrono::milliseconds(800); ///< Between reports of any other.
    duration answerTimeout =
        std::chrono::milliseconds(400); ///< An owner that owes an answer for longer is out of reach.
    double nearLimitPart = 0.5; ///< Of the burst; with less left an account is near its limit.
    duration statementFreshness =
        std::chrono::milliseconds(60); ///< A statement counts as the present state for so long.
    duration waitLimit = std::chrono::milliseconds(120); ///< Longest wait for the owner's word, some trips there.
};

/// A VM's part in holding accounts to rate and burst over a fleet whose size nobody tells: it spends from its estimate
/// of the whole budget, which the owner's statements correct. Without an owner each VM goes on with the share that it
/// had (after the global random drop of Raghavan et al., 2007, "Cloud control with distributed rate limiting").
struct ledger {
    ledger_policy policy; ///< As constructed.
    limit_table limits; ///< From the configuration in force.
    std::uint64_t configuration = 0; ///< Its revision.
    std::vector<vm_id> owners; ///< Live control VMs, ordered.
    std::size_t spenders = 1; ///< Live VMs that spend, this one included.
    std::unordered_map<account_id, account_estimate> accounts; ///< Asked for lately.
};

/// Takes one token. A request for which none is known to be left waits for the owner's word, unless that was heard just
/// now; so no token is refused here that lies unspent elsewhere.
take_result tryTake(ledger &state, account_id account, take_phase phase, instant now);

/// Reports that are due, by owner.
std::vector<std::pair<vm_id, ledger_report>> collectDueReports(ledger &state, instant now);

/// When the next report is due; nothing while nothing was spent.
std::optional<instant> nextReport(const ledger &state);

/// Takes an owner's statement.
void applyStatement(ledger &state, const ledger_statement &statement, instant now);

} // namespace guavafront
