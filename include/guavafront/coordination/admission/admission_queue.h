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

/// Order in which waiting accounts get a service's free slots.
enum class admission_policy : std::uint8_t {
    FirstCome, ///< Oldest request first, whoever sent it; newest shed first.
    DeficitRoundRobin, ///< Accounts in turn, each with service time by its weight; Shreedhar and Varghese 1995.
    LeastAttainedService, ///< The account that had the least service by weight lately; Sengupta et al. 2013,
                          ///< section 4.2.1.
};

/// Settings of the queues before a service.
struct admission_settings {
    admission_policy policy = admission_policy::LeastAttainedService; ///< Order between accounts.
    std::uint32_t maxWaitingPerAccount = 128; ///< Most waiting requests of an account.
    std::uint32_t maxWaiting = 1'024; ///< Most waiting requests of all accounts.
    std::uint32_t maxTimesPassedOver = 8; ///< A waiting lesser kind is passed over at most that often in a row.
    duration attainedServiceHalfLife = std::chrono::seconds(2); ///< Service attained counts half after it.
    duration initialServiceTimeEstimate =
        std::chrono::milliseconds(20); ///< Service time assumed before any was measured.
};

/// Request that waits for a slot.
struct admission_request {
    exchange_id id; ///< Its number at this VM.
    account_id account; ///< Whose it is; 0 for callers without a key, who share one queue.
    std::uint32_t kindRank = 0; ///< Place of its kind in the account manager's order; 0 goes first.
    instant deadline{}; ///< Dropped when it hasn't started by then.
    double weight = 1; ///< Of its account: the account's rate as a multiple of the default rate.
};

/// A waiting request with its place in the order of arrival.
struct waiting_request {
    admission_request request; ///< The request.
    std::uint64_t arrivalNumber = 0; ///< Number of its arrival.
};

/// Waiting requests of one kind, oldest first.
struct kind_queue {
    std::uint32_t rank = 0; ///< Place of the kind in the order.
    std::deque<waiting_request> requests; ///< Never empty.
    std::uint32_t timesPassedOver = 0; ///< Requests of better kinds taken since this kind was last served.
};

/// Waiting requests and attained service of one account.
struct account_queue {
    account_id id; ///< Whose.
    std::vector<kind_queue> kinds; ///< Ordered by rank; only kinds that wait.
    std::uint32_t waitingCount = 0; ///< Requests in all kinds.
    std::uint32_t runningCount = 0; ///< Requests that hold a slot.
    double attainedSeconds = 0; ///< Service attained lately, running requests at their estimate.
    instant decayedAt{}; ///< Attained service is that of this moment.
    double estimateSeconds = 0; ///< Smoothed service time of its requests.
    double weight = 1; ///< Service it is due, as a multiple of another account's.
    double deficitSeconds = 0; ///< Service time it may still take in this round.
};

/// The queues before one service's slots at one entry VM.
struct admission_queue {
    admission_settings settings; ///< Policy and bounds.
    std::unordered_map<account_id, account_queue> accounts; ///< Accounts that wait, run, or attained service lately.
    std::deque<account_id> waitingAccounts; ///< Accounts that wait, in round-robin order.
    std::uint32_t waitingCount = 0; ///< Requests of all accounts.
    std::uint64_t lastArrivalNumber = 0; ///< Requests ever enqueued.
};

/// Requests that leave the queue without a slot; none of them has run.
struct admission_effects {
    std::vector<exchange_id> shed; ///< The queue is full.
    std::vector<exchange_id> expired; ///< Their deadline has passed.
};

/// Place of a kind in an account manager's order; kinds that aren't named share the last one.
std::uint32_t rankOfKind(std::span<const std::string> kindOrder, std::string_view kind);

/// Adds a request. Where the queue is full, the least important request of the account or of the account with the
/// longest queue is shed, which may be the new one.
void enqueue(admission_queue &queue, const admission_request &request, instant now, admission_effects &effects);

/// The request that gets the free slot, if any waits.
std::optional<admission_request> admitNext(admission_queue &queue, instant now, admission_effects &effects);

/// A request gave its slot back after `service`.
void finishService(admission_queue &queue, account_id account, duration service, instant now);

/// Takes a waiting request out, for instance as its caller is gone; false if it doesn't wait.
bool cancelWaiting(admission_queue &queue, account_id account, exchange_id id);

/// Drops all requests whose deadline has passed, and accounts that neither wait nor run nor attained service lately.
void dropExpired(admission_queue &queue, instant now, admission_effects &effects);

} // namespace guavafront
