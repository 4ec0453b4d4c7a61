#include "account_order.h"

#include <algorithm>
#include <cmath>

namespace guavafront
{

namespace
{

/// Service time added to the deficit of an account of weight 1 in each round of deficit round robin.
constexpr double quantumSeconds = 0.02;
/// Weight of the latest service time in the moving average that estimates an account's service time.
constexpr double serviceTimeSmoothing = 0.1;

double secondsOf(duration span)
{
    return std::chrono::duration<double>(span).count();
}

double estimatedServiceSeconds(const admission_settings &settings, const account_queue &account)
{
    return account.estimateSeconds > 0 ? account.estimateSeconds : secondsOf(settings.initialServiceTimeEstimate);
}

double weightedQuantumSeconds(const account_queue &account)
{
    return quantumSeconds * account.weight;
}

std::uint64_t oldestArrival(const account_queue &account)
{
    std::uint64_t oldest = account.kinds.front().requests.front().arrivalNumber;
    for (const kind_queue &kind : account.kinds) {
        oldest = std::min(oldest, kind.requests.front().arrivalNumber);
    }
    return oldest;
}

account_queue *oldestAccount(admission_queue &queue)
{
    const auto oldest = std::ranges::min_element(
        queue.waitingAccounts, {}, [&queue](account_id id) { return oldestArrival(queue.accounts.at(id)); });
    return &queue.accounts.at(*oldest);
}

account_queue *leastServedAccount(admission_queue &queue, instant now)
{
    account_queue *least = nullptr;
    double leastService = 0;
    for (const account_id id : queue.waitingAccounts) {
        account_queue &account = queue.accounts.at(id);
        decayAttained(queue.settings, account, now);
        const double service = account.attainedSeconds / account.weight;
        const bool older = least && service == leastService && oldestArrival(account) < oldestArrival(*least);
        if (!least || service < leastService || older) {
            least = &account;
            leastService = service;
        }
    }
    return least;
}

/// Returns the smallest number of whole rounds after which the deficit of any account covers a request.
double roundsUntilCovered(const admission_queue &queue)
{
    double fewest = INFINITY;
    for (const account_id id : queue.waitingAccounts) {
        const account_queue &account = queue.accounts.at(id);
        const double missing = estimatedServiceSeconds(queue.settings, account) - account.deficitSeconds;
        fewest = std::min(fewest, std::max(0.0, std::ceil(missing / weightedQuantumSeconds(account))));
    }
    return fewest;
}

bool deficitCoversRequest(const admission_queue &queue, const account_queue &account)
{
    // The tolerance of 1 ns absorbs rounding errors of the additions.
    return account.deficitSeconds + 1e-9 >= estimatedServiceSeconds(queue.settings, account);
}

/// Serves the account at the front as long as its deficit covers a request, then adds a quantum to the deficit and
/// moves the account to the back. Rounds in which no account could be served are added to the deficits at once.
account_queue *nextRoundRobinAccount(admission_queue &queue)
{
    const double skipped = roundsUntilCovered(queue) - 1;
    if (skipped > 0) {
        for (const account_id id : queue.waitingAccounts) {
            account_queue &account = queue.accounts.at(id);
            account.deficitSeconds += skipped * weightedQuantumSeconds(account);
        }
    }
    // After the skipped rounds, two more of one quantum each reach the first account whose deficit covers a request.
    const std::size_t visits = 2 * queue.waitingAccounts.size() + 1;
    for (std::size_t visit = 0; visit < visits; ++visit) {
        account_queue &account = queue.accounts.at(queue.waitingAccounts.front());
        if (deficitCoversRequest(queue, account)) {
            return &account;
        }
        account.deficitSeconds += weightedQuantumSeconds(account);
        queue.waitingAccounts.push_back(queue.waitingAccounts.front());
        queue.waitingAccounts.pop_front();
    }
    return &queue.accounts.at(queue.waitingAccounts.front());
}

} // namespace

account_queue *nextAccount(admission_queue &queue, instant now)
{
    if (queue.waitingAccounts.empty()) {
        return nullptr;
    }
    switch (queue.settings.policy) {
    case admission_policy::FirstCome:
        return oldestAccount(queue);
    case admission_policy::DeficitRoundRobin:
        return nextRoundRobinAccount(queue);
    case admission_policy::LeastAttainedService:
        break;
    }
    return leastServedAccount(queue, now);
}

void decayAttained(const admission_settings &settings, account_queue &account, instant now)
{
    if (now > account.decayedAt) {
        account.attainedSeconds *=
            std::exp2(-secondsOf(now - account.decayedAt) / secondsOf(settings.attainedServiceHalfLife));
        account.decayedAt = now;
    }
}

void chargeEstimate(const admission_settings &settings, account_queue &account, instant now)
{
    decayAttained(settings, account, now);
    const double estimate = estimatedServiceSeconds(settings, account);
    account.attainedSeconds += estimate;
    account.deficitSeconds -= estimate;
    ++account.runningCount;
}

void correctCharge(const admission_settings &settings, account_queue &account, duration service, instant now)
{
    decayAttained(settings, account, now);
    const double estimate = estimatedServiceSeconds(settings, account);
    const double seconds = secondsOf(service);
    account.attainedSeconds = std::max(0.0, account.attainedSeconds + seconds - estimate);
    account.deficitSeconds -= account.waitingCount > 0 ? seconds - estimate : 0;
    account.estimateSeconds = estimate + serviceTimeSmoothing * (seconds - estimate);
    --account.runningCount;
}

} // namespace guavafront
