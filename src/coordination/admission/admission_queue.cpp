#include <guavafront/coordination/admission/admission_queue.h>

#include "account_order.h"

#include <algorithm>
#include <cassert>

namespace guavafront
{

namespace
{

/// An idle account with less attained service than this is removed.
constexpr double negligibleAttainedSeconds = 0.0005;

kind_queue &findOrAddKind(account_queue &account, std::uint32_t rank)
{
    const auto place = std::ranges::lower_bound(account.kinds, rank, {}, &kind_queue::rank);
    if (place != account.kinds.end() && place->rank == rank) {
        return *place;
    }
    return *account.kinds.insert(place, {.rank = rank});
}

/// Updates counts and orders after one request has been taken out of a kind's queue; removes the kind when it is empty.
void updateAfterRemoval(admission_queue &queue, account_queue &account, std::size_t kindIndex)
{
    if (account.kinds[kindIndex].requests.empty()) {
        account.kinds.erase(account.kinds.begin() + static_cast<std::ptrdiff_t>(kindIndex));
    }
    --account.waitingCount;
    --queue.waitingCount;
    if (account.waitingCount == 0) {
        std::erase(queue.waitingAccounts, account.id);
    }
}

/// Sheds the newest request of the account's least important kind.
void shedLeastImportant(admission_queue &queue, account_queue &account, admission_effects &effects)
{
    const std::size_t last = account.kinds.size() - 1;
    effects.shed.push_back(account.kinds[last].requests.back().request.id);
    account.kinds[last].requests.pop_back();
    updateAfterRemoval(queue, account, last);
}

account_queue &longestAccountQueue(admission_queue &queue)
{
    const auto longest = std::ranges::max_element(
        queue.waitingAccounts, {}, [&queue](account_id id) { return queue.accounts.at(id).waitingCount; });
    return queue.accounts.at(*longest);
}

/// Returns the index of the most important kind, unless a less important one has been passed over too often in a row.
std::size_t nextKindIndex(const admission_settings &settings, const account_queue &account)
{
    for (std::size_t index = account.kinds.size(); index-- > 1;) {
        if (account.kinds[index].timesPassedOver >= settings.maxTimesPassedOver) {
            return index;
        }
    }
    return 0;
}

waiting_request takeOldest(admission_queue &queue, account_queue &account, std::size_t kindIndex)
{
    for (std::size_t lesser = kindIndex + 1; lesser < account.kinds.size(); ++lesser) {
        ++account.kinds[lesser].timesPassedOver;
    }
    account.kinds[kindIndex].timesPassedOver = 0;
    const waiting_request taken = account.kinds[kindIndex].requests.front();
    account.kinds[kindIndex].requests.pop_front();
    updateAfterRemoval(queue, account, kindIndex);
    return taken;
}

/// Returns the index of the kind whose oldest request arrived first.
std::size_t oldestKindIndex(const account_queue &account)
{
    const auto oldest = std::ranges::min_element(
        account.kinds, {}, [](const kind_queue &kind) { return kind.requests.front().arrivalNumber; });
    return static_cast<std::size_t>(oldest - account.kinds.begin());
}

void dropExpiredOf(admission_queue &queue, account_queue &account, instant now, admission_effects &effects)
{
    for (std::size_t index = account.kinds.size(); index-- > 0;) {
        std::deque<waiting_request> &requests = account.kinds[index].requests;
        std::vector<exchange_id> expiredIds;
        for (const waiting_request &entry : requests) {
            if (entry.request.deadline <= now) {
                expiredIds.push_back(entry.request.id);
            }
        }
        for (const exchange_id id : expiredIds) {
            cancelWaiting(queue, account.id, id);
        }
        effects.expired.insert(effects.expired.end(), expiredIds.begin(), expiredIds.end());
    }
}

} // namespace

std::uint32_t rankOfKind(std::span<const std::string> kindOrder, std::string_view kind)
{
    const auto found = std::ranges::find(kindOrder, kind);
    return static_cast<std::uint32_t>(found - kindOrder.begin());
}

void enqueue(admission_queue &queue, const admission_request &request, instant now, admission_effects &effects)
{
    if (request.deadline <= now) {
        effects.expired.push_back(request.id);
        return;
    }
    const auto [place, created] = queue.accounts.try_emplace(request.account);
    account_queue &account = place->second;
    if (created) {
        account.id = request.account;
        account.decayedAt = now;
    }
    assert(request.weight > 0);
    account.weight = request.weight;
    if (account.waitingCount == 0) {
        queue.waitingAccounts.push_back(request.account);
        account.deficitSeconds = 0;
    }
    findOrAddKind(account, request.kindRank)
        .requests.push_back({.request = request, .arrivalNumber = ++queue.lastArrivalNumber});
    ++account.waitingCount;
    ++queue.waitingCount;
    const bool totalExceeded = queue.waitingCount > queue.settings.maxWaiting;
    if (queue.settings.policy == admission_policy::FirstCome) {
        if (totalExceeded && cancelWaiting(queue, request.account, request.id)) {
            effects.shed.push_back(request.id);
        }
    } else if (account.waitingCount > queue.settings.maxWaitingPerAccount) {
        shedLeastImportant(queue, account, effects);
    } else if (totalExceeded) {
        shedLeastImportant(queue, longestAccountQueue(queue), effects);
    }
}

std::optional<admission_request> admitNext(admission_queue &queue, instant now, admission_effects &effects)
{
    while (account_queue *account = nextAccount(queue, now)) {
        const bool firstCome = queue.settings.policy == admission_policy::FirstCome;
        const std::size_t kind = firstCome ? oldestKindIndex(*account) : nextKindIndex(queue.settings, *account);
        const waiting_request next = takeOldest(queue, *account, kind);
        if (next.request.deadline <= now) {
            effects.expired.push_back(next.request.id);
            continue;
        }
        chargeEstimate(queue.settings, *account, now);
        return next.request;
    }
    return std::nullopt;
}

void finishService(admission_queue &queue, account_id account, duration service, instant now)
{
    const auto found = queue.accounts.find(account);
    assert(found != queue.accounts.end() && found->second.runningCount > 0);
    correctCharge(queue.settings, found->second, service, now);
}

bool cancelWaiting(admission_queue &queue, account_id account, exchange_id id)
{
    const auto found = queue.accounts.find(account);
    if (found == queue.accounts.end()) {
        return false;
    }
    std::vector<kind_queue> &kinds = found->second.kinds;
    for (std::size_t index = 0; index < kinds.size(); ++index) {
        const std::size_t erased =
            std::erase_if(kinds[index].requests, [id](const waiting_request &entry) { return entry.request.id == id; });
        if (erased > 0) {
            updateAfterRemoval(queue, found->second, index);
            return true;
        }
    }
    return false;
}

void dropExpired(admission_queue &queue, instant now, admission_effects &effects)
{
    for (auto entry = queue.accounts.begin(); entry != queue.accounts.end();) {
        account_queue &account = entry->second;
        dropExpiredOf(queue, account, now, effects);
        decayAttained(queue.settings, account, now);
        const bool idle = account.waitingCount == 0 && account.runningCount == 0
                          && account.attainedSeconds < negligibleAttainedSeconds;
        entry = idle ? queue.accounts.erase(entry) : std::next(entry);
    }
}

} // namespace guavafront
