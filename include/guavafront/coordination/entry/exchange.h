#pragma once

#include <guavafront/coordination/configuration/configuration.h>
#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/entry/request_head.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace guavafront
{

/// Steps that a request passes, in order. A request may be parked in one until an event lets it go on.
enum class exchange_stage : std::uint8_t {
    Limit, ///< Takes one request from the account's rate.
    Claim, ///< Claims its idempotency key.
    Admit, ///< Waits for its turn and a slot.
    Select, ///< Chooses an instance.
    Running, ///< A try is under way.
};

/// One request of a caller, from its arrival to its end.
struct exchange {
    exchange_id id; ///< The front end's number.
    exchange_stage stage = exchange_stage::Limit; ///< Step that it is in.
    bool mayBeRepeated = false; ///< Upstreams may see it more than once.
    bool mayHaveRun = false; ///< A byte of it may have reached an upstream.
    bool callerLeft = false; ///< Nobody waits for the answer.
    route_id routeId; ///< Route that matched.
    account_id accountId; ///< Client account; 0 on a route open to all.
    std::string accountName; ///< Its name.
    std::string service; ///< Service that serves it.
    std::string kind; ///< Kind in the account manager's order.
    std::string idempotencyKey; ///< As sent; empty when there is none.
    request_digest digest; ///< Of the whole request.
    std::uint32_t bodyBytes = 0; ///< Size of its body.
    std::uint32_t maxAttempts = 0; ///< Instances it may be sent to; 0 leaves it to the retry limits.
    std::uint32_t sentAttempts = 0; ///< Tries whose bytes may have reached an instance.
    std::uint32_t priorityRank =
        0; ///< Place among the requests that wait, 0 first: the account's priority before the route's.
    instant targetLatencyEnd{}; ///< End of the target latency; the deadline when there is none.
    bool claimed = false; ///< It has won the claim of its idempotency key.
    std::vector<std::byte> answer; ///< Of the try that was answered, for resends.
    instant arrived; ///< When it came.
    instant tokenWaitEnd{}; ///< Waits for a token until then; 0 when it doesn't.
    instant admittedAt{}; ///< When it got its slot.
    bool holdsSlot = false; ///< Counts as running at its service.
    instant deadline; ///< It ends at the latest then.
    instance_id currentInstance; ///< Instance of the present try.
    instant attemptStartedAt{}; ///< When the present try began.
    duration expectedWait{}; ///< Likely wait for a slot at the instance of the present try.
    bool isTrial = false; ///< The present try shows whether an avoided instance is sound again.
    bool overdueReported = false; ///< The fleet was told that the present try's answer is overdue.
    std::vector<instance_id> attemptedInstances; ///< Instances of all tries so far.
};

} // namespace guavafront
