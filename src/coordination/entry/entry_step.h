#pragma once

#include <guavafront/coordination/entry/entry.h>

#include <cstddef>
#include <random>
#include <span>
#include <vector>

namespace guavafront
{

/// Arguments of step(), shared by all functions of one step.
struct step_context {
    entry &state; ///< State of the entry's decisions.
    instant now; ///< Time of the step.
    std::mt19937_64 &random; ///< Source of all random numbers of the step.
    std::vector<entry_effect> &effects; ///< Effects of the step, to be appended to.
};

/// What happens to a request after a stage.
enum class stage_verdict : std::uint8_t {
    Continue, ///< The request goes on to the next stage.
    Park, ///< The request waits in the stage until an event lets it continue.
    Ended, ///< The request has ended and is gone from the state.
};

/// Takes a new or parked request through its stages until one of them parks or ends it.
void advance(step_context &context, exchange &request);

/// Refuses a request and removes it from the state; the reference is invalid afterwards.
stage_verdict refuse(step_context &context, exchange &request, result_code code, execution ran, duration retryAfter);

/// Delivers the attempt's answer and removes the request from the state; the reference is invalid afterwards.
/// succeeded: the answer is no server error.
void deliver(step_context &context, exchange &request, bool succeeded);

/// Claims the idempotency key of a non-repeatable request.
stage_verdict claimIdempotencyKey(step_context &context, exchange &request);

/// Ends the claim of a request that is about to be removed from the state.
void concludeClaim(step_context &context, const exchange &request);

/// Passes an event to the claims and continues or ends the requests that they decide on.
void updateClaims(step_context &context, const claims_event &event);

/// Replays a stored answer and removes the request from the state; the reference is invalid afterwards.
void replay(step_context &context, exchange &request, std::span<const std::byte> answer);

/// Checks the route and API key of a new request and the freshness of the configuration, then adds the request to the
/// state or refuses it.
void acceptRequest(step_context &context, const request_head &head);

/// Chooses an instance and starts an attempt, or refuses the request.
stage_verdict selectAndStartAttempt(step_context &context, exchange &request);

/// Handles the end of an attempt: delivers the answer, retries or refuses the request.
void concludeAttempt(step_context &context, exchange &request, const attempt_result &result);

/// Ends the requests whose deadline has passed, and their attempts.
void expireRequests(step_context &context);

/// Ends all requests: those that may have run as unknown, the others as not run.
void endAllRequests(step_context &context);

/// Adds or renews an instance that announced itself here, and publishes changes.
void updateUpstreams(step_context &context, const instance_announced &event);
/// Adds or renews an instance of another VM. Withdraws it here when the other VM now receives its announcements.
void updateUpstreams(step_context &context, const instance_reported &event);
/// Records which instances another VM said are cold.
void updateWarmups(step_context &context, const warmups_reported &event);
/// Reports to operators what concerned cold instances since the last report.
void reportWarmups(step_context &context);
/// Stops new requests to an instance that departs.
void updateUpstreams(step_context &context, const departure_reported &event);
/// Removes an instance that another VM has withdrawn.
void updateUpstreams(step_context &context, const instance_withdrawn &event);
/// Handles the loss or return of a VM that receives announcements.
void updateUpstreams(step_context &context, const vm_reachability_changed &event);
/// Publishes again what this VM publishes: its claims membership, the instances announced here and its health report.
void republish(step_context &context);
/// Asks the hubs for instances when the next request for them is due; only with balancing_policy::Affinity.
void requestKnownInstances(step_context &context);
/// Sends all known instances to a VM that asked, unless its fingerprint shows that it knows them.
void sendKnownInstances(step_context &context, const known_instances_requested &event);
/// Removes instances whose lease has expired, and withdraws those announced here.
void expireInstances(step_context &context);

} // namespace guavafront
