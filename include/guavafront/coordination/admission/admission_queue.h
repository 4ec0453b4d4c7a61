#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace guavafront
{

/// Order in which accounts with waiting requests get a service's free slots. A slot holds one running request.
enum class admission_policy : std::uint8_t {
    FirstCome, ///< Oldest request first, regardless of account; the newest is shed first.
    DeficitRoundRobin, ///< Accounts in turn, each with service time in proportion to its weight
                       ///< (Shreedhar and Varghese 1995).
    LeastAttainedService, ///< The account with the least recent service time per weight first (Sengupta et al. 2013,
                          ///< section 4.2.1).
};

/// Settings of the queue in front of a service.
struct admission_settings {
    admission_policy policy = admission_policy::LeastAttainedService; ///< Order in which accounts are served.
    std::uint32_t maxWaitingPerAccount = 128; ///< Largest number of waiting requests of one account.
    std::uint32_t maxWaiting = 1'024; ///< Largest number of waiting requests of all accounts.
    /// How often in a row an account's waiting request of a less important kind may be passed over.
    std::uint32_t maxTimesPassedOver = 8;
    duration attainedServiceHalfLife = std::chrono::seconds(2); ///< Time after which attained service counts half.
    /// Service time assumed for an account until its first request has finished.
    duration initialServiceTimeEstimate = std::chrono::milliseconds(20);
};

/// A request for a slot.
struct admission_request {
    exchange_id id; ///< Number of the request at this VM.
    account_id account; ///< Account that sent it; 0 for callers without an API key, who share one queue.
    std::uint32_t kindRank = 0; ///< Position of the kind in the account manager's order; 0 is served first.
    instant deadline{}; ///< The request is dropped if it has not started by then.
    double weight = 1; ///< Weight of the account: its rate limit as a multiple of the default rate. Above 0.
};

/// A waiting request with its position in the order of arrival.
struct waiting_request {
    admission_request request; ///< What was enqueued.
    std::uint64_t arrivalNumber = 0; ///< Counts up with each request enqueued at the same service.
};

/// Waiting requests of one account and one kind.
struct kind_queue {
    std::uint32_t rank = 0; ///< Position of the kind in the account manager's order.
    std::deque<waiting_request> requests; ///< Oldest first. Never empty: the kind is removed with its last request.
    std::uint32_t timesPassedOver = 0; ///< Requests of more important kinds admitted since this kind was last served.
};

/// Waiting requests and attained service of one account.
struct account_queue {
    account_id id; ///< Account that sent the requests.
    std::vector<kind_queue> kinds; ///< Kinds with waiting requests, ordered by rank.
    std::uint32_t waitingCount = 0; ///< Waiting requests of all kinds.
    std::uint32_t runningCount = 0; ///< Requests that hold a slot.
    double attainedSeconds = 0; ///< Service time attained lately, decayed with the half-life; a running request
                                ///< counts with its estimated service time.
    instant decayedAt{}; ///< Time up to which attainedSeconds has been decayed.
    double estimateSeconds = 0; ///< Smoothed service time of the account's requests; 0 until one has finished.
    double weight = 1; ///< Share of service time, relative to the weights of the other accounts.
    double deficitSeconds = 0; ///< Service time that the account may still use in this round of deficit round robin.
};

/// Requests of all accounts that wait at one entry VM for the slots of one service.
struct admission_queue {
    admission_settings settings; ///< Policy and limits.
    /// Accounts with waiting or running requests or with recent attained service.
    std::unordered_map<account_id, account_queue> accounts;
    std::deque<account_id> waitingAccounts; ///< Accounts with waiting requests, in round-robin order.
    std::uint32_t waitingCount = 0; ///< Waiting requests of all accounts.
    std::uint64_t lastArrivalNumber = 0; ///< Arrival number of the latest request.
};

/// Requests that left the queue without getting a slot. None of them has run.
struct admission_effects {
    std::vector<exchange_id> shed; ///< Dropped because the queue was full.
    std::vector<exchange_id> expired; ///< Dropped because their deadline had passed.
};

/// Returns the position of a kind in the order set by the account manager. All kinds that the order does not name share
/// the last position.
std::uint32_t rankOfKind(std::span<const std::string> kindOrder, std::string_view kind);

/// Adds a request; if its deadline has passed, it is reported as expired instead. When the account's limit is exceeded,
/// the newest request of the account's least important kind is shed; when the total limit is exceeded, that of the
/// account with the most waiting requests. Either may be the new request. FirstCome has only the total limit and sheds
/// the new request.
void enqueue(admission_queue &queue, const admission_request &request, instant now, admission_effects &effects);

/// Takes the request that gets a free slot out of the queue and charges its account for it. Requests whose deadline has
/// passed are dropped on the way. Returns nothing if no request is left.
std::optional<admission_request> admitNext(admission_queue &queue, instant now, admission_effects &effects);

/// Records that an admitted request of the account has released its slot after the given service time. Call it exactly
/// once for each request that admitNext returned.
void finishService(admission_queue &queue, account_id account, duration service, instant now);

/// Removes a waiting request, for instance because its caller has disconnected. Returns false if it is not waiting.
bool cancelWaiting(admission_queue &queue, account_id account, exchange_id id);

/// Drops all requests whose deadline has passed, and removes accounts that have neither waiting nor running requests
/// nor recent attained service.
void dropExpired(admission_queue &queue, instant now, admission_effects &effects);

} // namespace guavafront
