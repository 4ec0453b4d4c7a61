#pragma once

#include <guavafront/coordination/admission/admission_queue.h>
#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace guavafront
{

/// Requests of one account that wait for a token.
struct account_token_waits {
    std::deque<exchange_id> queue; ///< Oldest first.
    instant retryAt = instant::max(); ///< The oldest is tried again then.
};

/// Requests that wait for a token of their account.
struct token_waits {
    std::unordered_map<account_id, account_token_waits> byAccount; ///< Accounts with requests that wait.
    std::set<std::pair<instant, exchange_id>> expirations; ///< When each is granted or refused at the latest.
    std::set<std::pair<instant, account_id>> retries; ///< When each account's oldest is tried again.
    std::vector<account_id> accountsToRetry; ///< Accounts whose requests are to be tried again in this step.
};

/// Requests before and in one service's slots.
struct service_admission {
    admission_queue queue; ///< Those that wait.
    std::uint32_t running = 0; ///< Those that hold a slot.
    double concurrencyLimit = 0; ///< Slots used at once since the service shed load; 0 while it never did.
};

/// Queues before all services.
struct entry_admissions {
    std::unordered_map<std::string, service_admission> byService; ///< Services that were asked for.
    std::set<std::string> servicesToServe; ///< Services whose free slots are to be given out in this step.
    instant sweptAt{}; ///< Idle accounts were last forgotten then.
};

} // namespace guavafront
