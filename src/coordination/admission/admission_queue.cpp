#include <guavafront/coordination/admission/admission_queue.h>

#include "account_order.h"

#include <algorithm>
#include <cassert>

namespace guavafront
{

namespace
{

/// Attained service below counts as none.
constexpr double negligibleSeconds = 0.0005;

kind_queue &kindOf(account_queue &account, std::uint32_t rank)
{
    const auto place = std::ranges::lower_bound(account.kinds, rank, {}, &kind_queue::rank);
    if (place != account.kinds.end() && place->rank == rank) {
        return *place;
    }
    return *account.kinds.insert(place, {.rank = rank});
}

/// Bookkeeping after one request left a kind's queue.
void noteRemoved(admission_queue &queue, account_queue &account, std::size_t kindIndex)
{
    if (account.kinds[kindIndex].waiting.empty()) {
        account.kinds.erase(account.kinds.begin() + static_cast<std::ptrdiff_t>(kindIndex));
    }
    --account.waiting;
    --queue.waiting;
    if (account.waiting == 0) {
        std::erase(queue.round, account.account);
    }
}

/// Newest request of the least important kind.
void shedOne(admission_queue &queue, account_queue &account, admission_effects &effects)
{
    const std::size_t last = account.kinds.size() - 1;
    effects.shed.push_back(account.kinds[last].waiting.back().request.id);
    account.kinds[last].waiting.pop_back();
    noteRemoved(queue, account, last);
}

account_queue &longestQueue(admission_queue &queue)
{
    const auto longest =
        std::ranges::max_element(queue.round, {}, [&queue](account_id id) { return queue.accounts.at(id).waiting; });
    return queue.accounts.at(*longest);
}

/// The best kind, unless a lesser one was passed over too often in a row.
std::size_t nextKind(const admission_settings &settings, const account_queue &account)
{
    for (std::size_t index = account.kinds.size(); index-- > 1;) {
        if (account.kinds[index].passedOver >= settings.orderedRun) {
            return index;
        }
    }
    return 0;
}

waiting_request takeFrom(admission_queue &queue, account_queue &account, std::size_t kindIndex)
{
    for (std::size_t lesser = kindIndex + 1; lesser < account.kinds.size(); ++lesser) {
        ++account.kinds[lesser].passedOver;
    }
    account.kinds[kindIndex].passedOver = 0;
    const waiting_request taken = account.kinds[kindIndex].waiting.front();
    account.kinds[kindIndex].waiting.pop_front();
    noteRemoved(queue, account, kindIndex);
    return taken;
}

/// Kind whose oldest request came first.
std::size_t oldestKind(const account_queue &account)
{
    const auto oldest = std::ranges::min_element(account.kinds, {},
                                                 [](const kind_queue &kind) { return kind.waiting.front().arrival; });
    return static_cast<std::size_t>(oldest - account.kinds.begin());
}

void dropExpiredOf(admission_queue &queue, account_queue &account, instant now, admission_effects &effects)
{
    for (std::size_t index = account.kinds.size(); index-- > 0;) {
        std::deque<waiting_request> &waiting = account.kinds[index].waiting;
        std::vector<exchange_id> gone;
        for (const waiting_request &entry : waiting) {
            if (entry.request.deadline <= now) {
                gone.push_back(entry.request.id);
            }
        }
        for (const exchange_id id : gone) {
            cancelWaiting(queue, account.account, id);
        }
        effects.expired.insert(effects.expired.end(), gone.begin(), gone.end());
    }
}

} // namespace

std::uint32_t kindRank(std::span<const std::string> kindOrder, std::string_view kind)
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
        account.account = request.account;
        account.decayedAt = now;
    }
    assert(request.weight > 0);
    account.weight = request.weight;
    if (account.waiting == 0) {
        queue.round.push_back(request.account);
        account.deficitSeconds = 0;
    }
    kindOf(account, request.kindRank).waiting.push_back({.request = request, .arrival = ++queue.arrivals});
    ++account.waiting;
    ++queue.waiting;
    const bool allFull = queue.waiting > queue.settings.totalLimit;
    if (queue.settings.policy == admission_policy::FirstCome) {
        if (allFull && cancelWaiting(queue, request.account, request.id)) {
            effects.shed.push_back(request.id);
        }
    } else if (account.waiting > queue.settings.accountLimit) {
        shedOne(queue, account, effects);
    } else if (allFull) {
        shedOne(queue, longestQueue(queue), effects);
    }
}

std::optional<admission_request> admitNext(admission_queue &queue, instant now, admission_effects &effects)
{
    while (account_queue *account = nextAccount(queue, now)) {
        const bool firstCome = queue.settings.policy == admission_policy::FirstCome;
        const std::size_t kind = firstCome ? oldestKind(*account) : nextKind(queue.settings, *account);
        const waiting_request next = takeFrom(queue, *account, kind);
        if (next.request.deadline <= now) {
            effects.expired.push_back(next.request.id);
            continue;
        }
        chargeStart(queue.settings, *account, now);
        return next.request;
    }
    return std::nullopt;
}

void finishService(admission_queue &queue, account_id account, duration service, instant now)
{
    const auto found = queue.accounts.find(account);
    assert(found != queue.accounts.end() && found->second.running > 0);
    chargeFinish(queue.settings, found->second, service, now);
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
            std::erase_if(kinds[index].waiting, [id](const waiting_request &entry) { return entry.request.id == id; });
        if (erased > 0) {
            noteRemoved(queue, found->second, index);
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
        const bool idle = account.waiting == 0 && account.running == 0 && account.attainedSeconds < negligibleSeconds;
        entry = idle ? queue.accounts.erase(entry) : std::next(entry);
    }
}

} // namespace guavafront
