#include <guavafront/coordination/admission/urgency_queue.h>

#include "account_order.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>
#include <tuple>

namespace guavafront
{

namespace
{

/// Part of the capacity that a rank is expected to get at least, however much work of higher ranks arrives.
constexpr double leastDrainPart = 0.1;
/// An idle account with less attained service than this is removed.
constexpr double negligibleAttainedSeconds = 0.0005;
/// Less arriving work than this is forgotten.
constexpr double negligibleWorkSeconds = 0.0001;

double secondsOf(duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// What decides whose turn it is, most important first; the smallest goes next.
struct urgency_key {
    bool notOwed = true; ///< Neither the route nor the account is owed a request.
    std::uint32_t rank = 0; ///< Rank by priorities.
    std::uint32_t kindRank = 0; ///< Position of the kind.
    bool late = false; ///< The target is missed even if the request starts now.
    std::int64_t attained = 0; ///< Attained service of the account, in steps of the tolerance; 0 for late requests.
    instant due{}; ///< Latest start that meets the target; the deadline of a late request.
    std::uint64_t arrivalNumber = 0; ///< Order of arrival.

    auto operator<=>(const urgency_key &) const = default;
};

urgency_key keyOf(urgency_queue &queue, const urgent_request &request, instant now)
{
    account_queue &account = queue.accounts.at(request.account);
    decayAttained(queue.settings, account, now);
    const instant latestStart = request.targetEnd - request.work;
    const bool late = latestStart < now;
    const double attained = account.attainedSeconds / account.weight / queue.attainedToleranceSeconds;
    return {.notOwed = !isOwed(queue.guard, request.route, request.account),
            .rank = request.rank,
            .kindRank = request.kindRank,
            .late = late,
            .attained = static_cast<std::int64_t>(attained),
            .due = late ? request.deadline : latestStart,
            .arrivalNumber = request.arrivalNumber};
}

/// Indexes of the waiting requests, the next one first.
std::vector<std::size_t> turnOrder(urgency_queue &queue, instant now)
{
    std::vector<std::pair<urgency_key, std::size_t>> keyed;
    keyed.reserve(queue.waiting.size());
    for (std::size_t index = 0; index < queue.waiting.size(); ++index) {
        keyed.emplace_back(keyOf(queue, queue.waiting[index], now), index);
    }
    std::ranges::sort(keyed);
    std::vector<std::size_t> order;
    order.reserve(keyed.size());
    for (const auto &[key, index] : keyed) {
        order.push_back(index);
    }
    return order;
}

urgent_request takeAt(urgency_queue &queue, std::size_t index)
{
    const urgent_request taken = queue.waiting[index];
    queue.waiting.erase(queue.waiting.begin() + static_cast<std::ptrdiff_t>(index));
    --queue.accounts.at(taken.account).waitingCount;
    return taken;
}

/// Takes a request out for a slot.
urgent_request admitAt(urgency_queue &queue, std::size_t index, instant now)
{
    const urgent_request taken = takeAt(queue, index);
    recordAdmission(queue.guard, taken.route, taken.account, now);
    chargeEstimate(queue.settings, queue.accounts.at(taken.account), now);
    return taken;
}

/// Takes out the last request by urgency; of one account unless it is 0.
urgent_request takeLeastUrgent(urgency_queue &queue, const account_id *account, instant now)
{
    const std::vector<std::size_t> order = turnOrder(queue, now);
    const auto last = std::find_if(order.rbegin(), order.rend(), [&queue, account](std::size_t index) {
        return !account || queue.waiting[index].account == *account;
    });
    assert(last != order.rend());
    return takeAt(queue, *last);
}

void decay(rank_demand &demand, duration halfLife, instant now)
{
    if (now > demand.decayedAt) {
        demand.workSeconds *= std::exp2(-secondsOf(now - demand.decayedAt) / secondsOf(halfLife));
        demand.decayedAt = now;
    }
}

/// Work that arrives each second with requests up to the given rank.
double demandUpTo(urgency_queue &queue, std::uint32_t lastRank, instant now)
{
    double workSeconds = 0;
    for (auto &[each, demand] : queue.demandByRank) {
        if (each > lastRank) {
            break;
        }
        decay(demand, queue.demandHalfLife, now);
        workSeconds += demand.workSeconds;
    }
    return workSeconds * std::log(2.0) / secondsOf(queue.demandHalfLife);
}

} // namespace

std::vector<urgent_request> enqueue(urgency_queue &queue, urgent_request request, instant now)
{
    assert(request.weight > 0);
    const auto [place, created] = queue.accounts.try_emplace(request.account);
    account_queue &account = place->second;
    if (created) {
        account.id = request.account;
        account.decayedAt = now;
    }
    account.weight = request.weight;
    ++account.waitingCount;
    rank_demand &demand = queue.demandByRank[request.rank];
    decay(demand, queue.demandHalfLife, now);
    demand.workSeconds += secondsOf(request.work);
    recordArrival(queue.guard, request.route, request.account, now);
    request.arrived = now;
    request.arrivalNumber = ++queue.lastArrivalNumber;
    request.predictedWait = duration(-1);
    queue.waiting.push_back(request);
    std::vector<urgent_request> shed;
    if (account.waitingCount > queue.settings.maxWaitingPerAccount) {
        shed.push_back(takeLeastUrgent(queue, &request.account, now));
    } else if (queue.waiting.size() > queue.settings.maxWaiting) {
        shed.push_back(takeLeastUrgent(queue, nullptr, now));
    }
    return shed;
}

std::optional<urgent_request> takeMostUrgent(urgency_queue &queue, instant now)
{
    std::optional<std::size_t> first;
    urgency_key least;
    for (std::size_t index = 0; index < queue.waiting.size(); ++index) {
        const urgency_key key = keyOf(queue, queue.waiting[index], now);
        if (!first || key < least) {
            first = index;
            least = key;
        }
    }
    if (!first) {
        return std::nullopt;
    }
    return admitAt(queue, *first, now);
}

std::optional<urgent_request> takeBorrower(urgency_queue &queue, double workPerSecond, instant now)
{
    constexpr double mostOwnPart = 0.6;
    constexpr double leastOthersPart = 0.25;
    std::optional<std::size_t> first;
    urgency_key least;
    for (std::size_t index = 0; index < queue.waiting.size(); ++index) {
        urgency_key key = keyOf(queue, queue.waiting[index], now);
        key.notOwed = true;
        if (!first || key < least) {
            first = index;
            least = key;
        }
    }
    if (!first) {
        return std::nullopt;
    }
    const double own = demandUpTo(queue, least.rank, now);
    const double all = demandUpTo(queue, std::numeric_limits<std::uint32_t>::max(), now);
    const bool repaid = own < mostOwnPart * workPerSecond && all - own > leastOthersPart * workPerSecond;
    return repaid ? std::optional(admitAt(queue, *first, now)) : std::nullopt;
}

void finishUrgent(urgency_queue &queue, account_id account, duration service, instant now)
{
    const auto found = queue.accounts.find(account);
    assert(found != queue.accounts.end() && found->second.runningCount > 0);
    correctCharge(queue.settings, found->second, service, now);
}

bool cancelUrgent(urgency_queue &queue, exchange_id id)
{
    const auto found = std::ranges::find(queue.waiting, id, &urgent_request::id);
    if (found == queue.waiting.end()) {
        return false;
    }
    takeAt(queue, static_cast<std::size_t>(found - queue.waiting.begin()));
    return true;
}

namespace
{

/// Time until the turn of a waiting request behind the given work.
duration predictWait(urgency_queue &queue, const urgent_request &request, const drain_forecast &drain, double workAhead,
                     instant now)
{
    const auto behind = [&drain, workAhead](double rate) {
        return drain.untilNext + duration(static_cast<std::int64_t>(1e6 * workAhead / std::max(rate, 1e-6)));
    };
    const double least = leastDrainPart * drain.workPerSecond;
    const double demandAbove = request.rank > 0 ? demandUpTo(queue, request.rank - 1, now) : 0;
    const duration wait = behind(std::max(drain.workPerSecond - demandAbove, least));
    const bool late = now + wait + request.work > request.targetEnd;
    const bool overloaded = demandUpTo(queue, request.rank, now) > drain.workPerSecond;
    // A late request goes after those of its rank that can meet their target, and while more of them arrive than are
    // served there will always be some.
    return late && overloaded ? behind(least) : wait;
}

} // namespace

std::vector<urgent_refusal> takeUnservable(urgency_queue &queue, const drain_forecast &drain, instant now)
{
    std::vector<urgent_refusal> refused;
    double workAhead = 0;
    for (const std::size_t index : turnOrder(queue, now)) {
        urgent_request &request = queue.waiting[index];
        const duration wait = predictWait(queue, request, drain, workAhead, now);
        if (now + wait + request.work > request.deadline) {
            refused.push_back({.request = request, .predictedWait = wait});
            continue; // It takes no capacity, so those behind it don't wait for it.
        }
        workAhead += secondsOf(request.work);
        request.predictedWait = request.predictedWait < duration::zero() ? wait : request.predictedWait;
    }
    for (const urgent_refusal &each : refused) {
        cancelUrgent(queue, each.request.id);
    }
    return refused;
}

void removeIdle(urgency_queue &queue, instant now)
{
    removeIdle(queue.guard, now);
    for (auto &[id, account] : queue.accounts) {
        decayAttained(queue.settings, account, now);
    }
    std::erase_if(queue.accounts, [](const auto &each) {
        const account_queue &account = each.second;
        return account.waitingCount == 0 && account.runningCount == 0
               && account.attainedSeconds < negligibleAttainedSeconds;
    });
    for (auto &[rank, demand] : queue.demandByRank) {
        decay(demand, queue.demandHalfLife, now);
    }
    std::erase_if(queue.demandByRank, [](const auto &each) { return each.second.workSeconds < negligibleWorkSeconds; });
}

} // namespace guavafront
