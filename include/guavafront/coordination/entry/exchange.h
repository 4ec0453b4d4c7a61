#pragma once

#include <guavafront/coordination/avoidance/trials.h>
#include <guavafront/coordination/configuration/configuration.h>
#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/entry/key_acceptance.h>
#include <guavafront/coordination/entry/request_head.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace guavafront
{

/// Stages that a request passes through, in order. A request may wait in a stage until an event lets it continue.
enum class exchange_stage : std::uint8_t {
    Limit, ///< Takes a token of the account's rate.
    Claim, ///< Claims the request's idempotency key.
    Admit, ///< Waits in the service's queue for a slot.
    Select, ///< Chooses an upstream instance.
    Running, ///< An attempt is in progress.
};

/// One request of a caller, from its arrival until it is answered, refused or abandoned.
struct exchange {
    exchange_id id; ///< Number given to the request by the front end.
    exchange_stage stage = exchange_stage::Limit; ///< Stage that the request is in.
    bool mayBeRepeated = false; ///< The request is safe to run more than once.
    bool mayHaveRun = false; ///< An upstream instance may have run the request.
    bool callerLeft = false; ///< The caller has disconnected, so no answer is delivered.
    route_id routeId; ///< Route that matched the request.
    account_id accountId; ///< Client account; 0 on a route open to all.
    std::string accountName; ///< Name of the client account; empty on a route open to all.
    std::optional<key_acceptance> keyAccepted; ///< What the API key was accepted by; empty on a route open to all.
    std::string service; ///< Service that the request goes to.
    std::string kind; ///< Request kind of the route, as used in the account's order of kinds.
    std::string idempotencyKey; ///< Idempotency key sent by the caller; empty when there is none.
    request_digest digest; ///< Digest of the whole request.
    std::uint32_t bodyBytes = 0; ///< Size of the request body in bytes.
    std::uint32_t maxAttempts = 0; ///< Most instances to send the request to; 0 means that only the retry limits apply.
    std::uint32_t sentAttempts = 0; ///< Attempts whose bytes may have reached an instance.
    std::uint32_t priorityRank = 0; ///< Order by the account's priority, then the route's; 0 first.
    instant targetLatencyEnd{}; ///< End of the route's target latency; equals the deadline when it has none.
    bool claimed = false; ///< The request holds the claim of its idempotency key.
    std::vector<std::byte> answer; ///< Answer of the successful attempt, stored for resends of the request.
    instant arrived; ///< Time when the request arrived.
    instant tokenWaitEnd{}; ///< Time until which the request waits for a token; 0 when it doesn't wait.
    instant admittedAt{}; ///< Time when the request got its slot.
    bool holdsSlot = false; ///< The request holds a slot of its service.
    instant deadline; ///< Time by which the request ends.
    instance_id currentInstance; ///< Instance of the current attempt.
    instant attemptStartedAt{}; ///< Time when the current attempt began.
    duration expectedWait{}; ///< Expected wait for a slot at the instance of the current attempt.
    duration expectedWork{}; ///< Expected service time when the current attempt began; 0 when it wasn't known.
    bool isCold = false; ///< The instance of the current attempt was cold at its start.
    bool isTrial = false; ///< The current attempt is a trial that shows whether an avoided instance is healthy again.
    trial_reason trialReason = trial_reason::None; ///< Why the current attempt is a trial.
    bool overdueReported = false; ///< The other entry VMs were told that the current attempt's answer is overdue.
    std::vector<instance_id> attemptedInstances; ///< Instances of all attempts so far.
};

} // namespace guavafront
