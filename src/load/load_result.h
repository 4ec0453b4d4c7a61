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

/// Why a request of the load had neither an answer nor a refusal.
enum class load_failure : std::uint8_t {
    ConnectFailed, ///< No connection; not sent.
    Closed, ///< The connection ended before an answer.
    AnswerIncomplete, ///< The answer was cut or malformed.
    TimedOut, ///< No whole answer in time.
    UpstreamError, ///< An answer with status 500 or above that is no refusal of the fleet.
};

/// Stable name of a failure, for the results.
std::string_view loadFailureName(load_failure failure);

/// How one request of the load ended: refused with a code, failed, or answered when both are absent.
struct load_outcome {
    std::optional<result_code> refused; ///< Code of a refusal.
    std::optional<load_failure> failed; ///< Reason of a failure.
};

/// Counts of one client account, or of the direct comparison.
struct account_tally {
    std::uint64_t arrivals = 0; ///< Requests that were due.
    std::uint64_t withinRate = 0; ///< Of these, those that its bucket had a token for.
    std::uint64_t answered = 0; ///< Whole answers below status 500.
    std::map<result_code, std::uint64_t> refused; ///< By code.
    std::map<result_code, std::uint64_t> refusedWithinRate; ///< Though its bucket had a token, by code.
    std::map<load_failure, std::uint64_t> failed; ///< By reason.
    latency_histogram latencies; ///< Of answers, from the scheduled arrival.
};

/// What a load measured so far.
struct load_result {
    std::vector<account_tally> accounts; ///< By index in the plan.
    latency_histogram sendLateness; ///< From the scheduled arrival to the moment of sending it.
    std::size_t unfinished = 0; ///< Requests without an end yet.
    bool interrupted = false; ///< A signal ended the arrivals.
    duration length{}; ///< From the start to the last end.
};

/// Counts the end of an arrival.
void recordOutcome(load_result &result, const arrival &which, const load_outcome &outcome, duration latency);

/// How fairly the accounts that went through entry VMs were served.
struct fairness {
    std::size_t worstAccount = 0; ///< Index of the worst-served account.
    double worstShare = 1; ///< Its served share.
    double jainIndex = 1; ///< Jain, Chiu, Hawe 1984: 1 when all shares are equal, 1/n when one has all.
};

/// Answered requests over those within the rate, at most 1; 1 for an account that had none.
double servedShare(const account_tally &tally);

/// Fairness over the served shares.
fairness fairnessOf(const load_plan &plan, const load_result &result);

/// Sum of counts.
template<class key>
std::uint64_t sumOfCounts(const std::map<key, std::uint64_t> &counts)
{
    std::uint64_t sum = 0;
    for (const auto &[each, count] : counts) {
        sum += count;
    }
    return sum;
}

/// All accounts of a path in one tally.
account_tally combinedTally(const load_plan &plan, const load_result &result, load_path path);

/// Requests that fewer were answered or failed than the account was entitled to; the measure for accounts that send
/// above their rate, since there the fleet may give the token to another request than the load's own bucket did.
std::uint64_t shortfallOf(const account_tally &tally);

} // namespace guavafront
