#include "load/load_result.h"

#include <algorithm>

namespace guavafront
{

std::string_view loadFailureName(load_failure failure)
{
    switch (failure) {
    case load_failure::ConnectFailed:
        return "connect_failed";
    case load_failure::Closed:
        return "closed";
    case load_failure::AnswerIncomplete:
        return "answer_incomplete";
    case load_failure::TimedOut:
        return "timed_out";
    case load_failure::UpstreamError:
        break;
    }
    return "upstream_error";
}

void recordOutcome(load_result &result, const arrival &which, const load_outcome &outcome, duration latency)
{
    account_tally &tally = result.accounts[which.account];
    ++tally.arrivals;
    tally.withinRate += which.withinRate ? 1 : 0;
    if (outcome.refused) {
        ++tally.refused[*outcome.refused];
        if (which.withinRate) {
            ++tally.refusedWithinRate[*outcome.refused];
        }
    } else if (outcome.failed) {
        ++tally.failed[*outcome.failed];
    } else {
        ++tally.answered;
        tally.latencies.add(latency);
    }
}

double servedShare(const account_tally &tally)
{
    if (tally.withinRate == 0) {
        return 1;
    }
    return std::min(1.0, static_cast<double>(tally.answered) / static_cast<double>(tally.withinRate));
}

fairness fairnessOf(const load_plan &plan, const load_result &result)
{
    fairness found;
    double sum = 0;
    double squares = 0;
    std::size_t accounts = 0;
    for (std::size_t index = 0; index < plan.accounts.size(); ++index) {
        if (plan.accounts[index].path == load_path::Direct) {
            continue;
        }
        const double share = servedShare(result.accounts[index]);
        if (accounts == 0 || share < found.worstShare) {
            found.worstAccount = index;
            found.worstShare = share;
        }
        sum += share;
        squares += share * share;
        ++accounts;
    }
    if (squares > 0) {
        found.jainIndex = sum * sum / (static_cast<double>(accounts) * squares);
    }
    return found;
}

account_tally combinedTally(const load_plan &plan, const load_result &result, load_path path)
{
    account_tally sum;
    const auto addAll = [](auto &into, const auto &from) {
        for (const auto &[key, count] : from) {
            into[key] += count;
        }
    };
    for (std::size_t index = 0; index < plan.accounts.size(); ++index) {
        if (plan.accounts[index].path != path) {
            continue;
        }
        const account_tally &tally = result.accounts[index];
        sum.arrivals += tally.arrivals;
        sum.withinRate += tally.withinRate;
        sum.answered += tally.answered;
        addAll(sum.refused, tally.refused);
        addAll(sum.refusedWithinRate, tally.refusedWithinRate);
        addAll(sum.failed, tally.failed);
        sum.latencies.merge(tally.latencies);
    }
    return sum;
}

std::uint64_t shortfallOf(const account_tally &tally)
{
    const std::uint64_t ended = tally.answered + sumOfCounts(tally.failed);
    return tally.withinRate > ended ? tally.withinRate - ended : 0;
}

} // namespace guavafront
