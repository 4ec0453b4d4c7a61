#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>

#include <unordered_map>

namespace guavafront
{

/// What one route or account is owed at one service of this VM.
struct owed_share {
    double owed = 0; ///< Requests that it must get served before others; each served one reduces it.
    instant lastArrival{}; ///< When its last request arrived.
};

/// Guarantees each route and each account of a service a part of the share that all requests of the service get served,
/// whatever their rank.
struct starvation_guard {
    /// Part of the service's share that each route and account gets. The promise is a quarter; the margin is for
    /// fractions of a request that remain owed at each VM.
    double guaranteedPart = 0.28;
    /// Half-life of the counts of arrivals and served requests, and the time after which a silent route or account is
    /// forgotten.
    duration halfLife = std::chrono::seconds(4);
    /// Largest number of requests owed, so that a time without capacity leaves no long debt to the least urgent ones.
    double maxOwed = 2;
    double arrived = 0; ///< Requests that arrived lately.
    double served = 0; ///< Requests that were admitted lately.
    instant decayedAt{}; ///< Time up to which the counts have been decayed.
    std::unordered_map<route_id, owed_share> routes; ///< Routes with recent requests.
    std::unordered_map<account_id, owed_share> accounts; ///< Accounts with recent requests.
};

/// Records the arrival of a request at the queue.
void recordArrival(starvation_guard &guard, route_id route, account_id account, instant now);

/// Records that a request was admitted.
void recordAdmission(starvation_guard &guard, route_id route, account_id account, instant now);

/// Whether the route or the account is owed a request, which then goes before those of higher rank.
bool isOwed(const starvation_guard &guard, route_id route, account_id account);

/// Forgets routes and accounts without recent requests.
void removeIdle(starvation_guard &guard, instant now);

} // namespace guavafront
