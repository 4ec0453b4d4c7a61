#pragma once

#include "load/latency_histogram.h"
#include "load/load_plan.h"

#include <guavafront/coordination/core/result_code.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace guavafront
{

/// Why a request of the load failed: it was neither answered nor refused by the fleet.
enum class load_failure : std::uint8_t {
    ConnectFailed, ///< No connection could be opened, so the request was not sent.
    Closed, ///< The connection was closed before an answer came.
    AnswerIncomplete, ///< The answer was truncated or malformed.
    TimedOut, ///< No complete answer came before the timeout.
    UpstreamError, ///< The answer has status 500 or above and is not a refusal by the fleet.
};

/// Name of a failure in the results; the names are stable.
std::string_view loadFailureName(load_failure failure);

/// How one request of the load ended. At most one member is set; the request was answered when both are empty.
struct load_outcome {
    std::optional<result_code> refused; ///< Result code, when the fleet refused the request.
    std::optional<load_failure> failed; ///< Reason, when the request failed.
};

/// Counts and latencies of the finished requests of one client account, of the direct comparison, or of several
/// accounts combined.
struct account_tally {
    std::uint64_t arrivals = 0; ///< Requests that have ended in any way.
    std::uint64_t withinRate = 0; ///< Ended requests that had arrival::withinRate set.
    std::uint64_t answered = 0; ///< Complete answers that are neither refusals nor upstream errors.
    std::map<result_code, std::uint64_t> refused; ///< Refused requests by result code.
    std::map<result_code, std::uint64_t> refusedWithinRate; ///< Refused requests within the rate, by result code.
    std::map<load_failure, std::uint64_t> failed; ///< Failed requests by reason.
    latency_histogram latencies; ///< Times from the scheduled arrival to the answer, of answered requests.
};

/// Measurements of a load; those of a running load are incomplete.
struct load_result {
    std::vector<account_tally> accounts; ///< Tallies by index in load_plan::accounts.
    latency_histogram sendLateness; ///< Times from the scheduled arrival to the call of target_connections::send().
    std::size_t unfinished = 0; ///< Requests sent or queued that have not ended yet.
    bool interrupted = false; ///< Whether a signal ended the arrivals early.
    duration length{}; ///< Time from the start of the load to the end of its last request.
};

/// Adds a finished request to the tally of its account. The latency counts only for answered requests.
void recordOutcome(load_result &result, const arrival &which, const load_outcome &outcome, duration latency);

/// How evenly the fleet served the accounts whose requests went through entry VMs.
struct fairness {
    std::size_t worstAccount = 0; ///< Index in load_plan::accounts of the account with the lowest served share.
    double worstShare = 1; ///< Served share of the worst-served account.
    double jainIndex = 1; ///< Index of Jain, Chiu and Hawe (1984): 1 when all shares are equal, 1/n when one has all.
};

/// Answered requests divided by the requests within the account's rate, at most 1; 1 when no request was within it.
double servedShare(const account_tally &tally);

/// Computes the fairness of the served shares of all accounts that went through entry VMs.
fairness fairnessOf(const load_plan &plan, const load_result &result);

/// Sums the counts of all keys.
template<class key>
std::uint64_t sumOfCounts(const std::map<key, std::uint64_t> &counts)
{
    std::uint64_t sum = 0;
    for (const auto &[each, count] : counts) {
        sum += count;
    }
    return sum;
}

/// Adds up the tallies of all accounts of one path.
account_tally combinedTally(const load_plan &plan, const load_result &result, load_path path);

/// Number of requests within the rate minus the number answered or failed, at least 0. For an account that sends above
/// its rate this is the measure of wrongful refusals: the fleet may spend a token on another request than the plan's
/// own token bucket did, so single refusals can't be compared.
std::uint64_t shortfallOf(const account_tally &tally);

} // namespace guavafront
