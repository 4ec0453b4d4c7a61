#pragma once

#include <guavafront/coordination/admission/admission_queue.h>
#include <guavafront/coordination/admission/starvation_guard.h>
#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace guavafront
{

/// A request that waits for its turn, with what its turn depends on.
struct urgent_request {
    exchange_id id; ///< Number of the request at this VM.
    account_id account; ///< Account that sent it; 0 for callers without an API key.
    route_id route; ///< Route that matched it.
    std::uint32_t rank = 0; ///< Order by the account's priority, then the route's; 0 first.
    std::uint32_t kindRank = 0; ///< Position of the kind in the account manager's order; 0 first.
    double weight = 1; ///< Weight of the account: its rate limit as a multiple of the default rate. Above 0.
    instant targetEnd{}; ///< End of the target latency.
    instant deadline{}; ///< When the caller or the route gives the request up.
    duration work{}; ///< Expected service time.
    instant arrived{}; ///< When it was enqueued.
    std::uint64_t arrivalNumber = 0; ///< Counts up with each request enqueued at the same service.
    duration predictedWait{}; ///< Wait that was predicted when it was enqueued.
};

/// Work that arrives lately with requests of one rank.
struct rank_demand {
    double workSeconds = 0; ///< Work of the arrivals, decayed.
    instant decayedAt{}; ///< Time up to which it has been decayed.
};

/// Requests of all accounts that wait at one entry VM for capacity of one service, ordered by urgency: what a route or
/// account is owed against starvation, then the rank, then the order of kinds; within these the requests that can still
/// meet their target; among those the accounts with clearly less attained service, and then the least slack, which is
/// what the target leaves after the expected work. Requests that miss their target go by deadline.
struct urgency_queue {
    admission_settings settings; ///< Limits, and the half-life of attained service.
    /// Accounts whose attained service differs by less than this count as served equally, so that slack decides.
    double attainedToleranceSeconds = 0.5;
    /// Half-life of the demand by rank. A VM gets few requests of a rank in a second, which would be a poor sample.
    duration demandHalfLife = std::chrono::seconds(3);
    std::vector<urgent_request> waiting; ///< Waiting requests, oldest first.
    std::unordered_map<account_id, account_queue> accounts; ///< Attained service of accounts with recent requests.
    std::map<std::uint32_t, rank_demand> demandByRank; ///< Arriving work of each rank with recent requests.
    starvation_guard guard; ///< What routes and accounts are owed.
    std::uint64_t lastArrivalNumber = 0; ///< Arrival number of the latest request.
};

/// Capacity that the waiting requests of one service share at this VM.
struct drain_forecast {
    double workPerSecond = 0; ///< Work that gets done each second for this VM.
    duration untilNext{}; ///< Time until the first waiting request is admitted.
};

/// A waiting request that is refused.
struct urgent_refusal {
    urgent_request request; ///< The request.
    duration predictedWait{}; ///< Time until its turn would come.
};

/// Adds a request. Returns the requests that are shed because the limit of the account or of the queue is exceeded: the
/// last ones by urgency, of the account or of all. The new one may be among them.
std::vector<urgent_request> enqueue(urgency_queue &queue, urgent_request request, instant now);

/// Takes the request whose turn it is out of the queue and charges its account for it; nothing when none waits.
std::optional<urgent_request> takeMostUrgent(urgency_queue &queue, instant now);

/// Takes the waiting request of the highest rank, regardless of what others are owed, if the work that arrives lately
/// up to its rank is well below workPerSecond and work of lower ranks arrives, too; nothing otherwise.
std::optional<urgent_request> takeBorrower(urgency_queue &queue, double workPerSecond, instant now);

/// Records that an admitted request has ended after the given service time. Call it once for each request that
/// takeMostUrgent() returned.
void finishUrgent(urgency_queue &queue, account_id account, duration service, instant now);

/// Removes a waiting request. Returns false if it is not waiting.
bool cancelUrgent(urgency_queue &queue, exchange_id id);

/// Takes out the requests whose predicted wait and work don't fit before their deadline, and sets the predicted wait of
/// the others that have none. The prediction counts the work of what goes first, and of higher ranks also the work that
/// goes on arriving.
std::vector<urgent_refusal> takeUnservable(urgency_queue &queue, const drain_forecast &drain, instant now);

/// Forgets accounts, routes and ranks without recent requests.
void removeIdle(urgency_queue &queue, instant now);

} // namespace guavafront
