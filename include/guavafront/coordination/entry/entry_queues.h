#pragma once

#include <guavafront/coordination/admission/admission_queue.h>
#include <guavafront/coordination/admission/capacity_share.h>
#include <guavafront/coordination/admission/urgency_queue.h>
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

/// Requests of one account that wait for a token of its rate.
struct account_token_waits {
    std::deque<exchange_id> queue; ///< Waiting requests, oldest first.
    instant retryAt = instant::max(); ///< Time when a token is requested again for the oldest request.
};

/// Requests that wait for a token, of all accounts.
struct token_waits {
    std::unordered_map<account_id, account_token_waits> byAccount; ///< Accounts that have waiting requests.
    std::set<std::pair<instant, exchange_id>> expirations; ///< Time by which each request is granted or refused.
    std::set<std::pair<instant, account_id>> retries; ///< account_token_waits::retryAt of each account.
    std::vector<account_id> accountsToRetry; ///< Accounts whose requests get another try at a token in this step.
};

/// Requests of one service that wait for a slot or hold one.
struct service_admission {
    admission_queue queue; ///< Requests that wait for a slot.
    std::uint32_t running = 0; ///< Number of requests that hold a slot.
    double concurrencyLimit = 0; ///< Adaptive limit on used slots; 0 (no limit) until the service sheds load.
    urgency_queue urgent; ///< Waiting requests with entry_policy::urgencyOrder, in place of queue.
    capacity_share share; ///< This VM's share of the capacity with entry_policy::urgencyOrder.
    service_capacity capacity; ///< Available capacity when it was last counted.
    instant capacityAt{}; ///< Time of that count.
    instant nextTryAt = instant::max(); ///< When waiting requests are tried again without another event.
};

/// Admission queues of all services.
struct entry_admissions {
    std::unordered_map<std::string, service_admission> byService; ///< Services that have received a request.
    std::set<std::string> servicesToServe; ///< Services whose free slots are filled in this step.
    instant sweptAt{}; ///< Time when the queues were last cleared of expired requests and idle accounts.
};

} // namespace guavafront
