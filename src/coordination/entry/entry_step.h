#pragma once

#include <guavafront/coordination/entry/entry.h>

#include <cstddef>
#include <random>
#include <span>
#include <vector>

namespace guavafront
{

/// What the functions of one step share.
struct step_context {
    entry &state; ///< All state.
    instant now; ///< Time of the step.
    std::mt19937_64 &random; ///< Random numbers.
    std::vector<entry_effect> &effects; ///< What to do.
};

/// What a stage says of a request.
enum class stage_verdict : std::uint8_t {
    Continue, ///< On to the next stage.
    Park, ///< Stays until an event calls advance().
    Ended, ///< The request is over.
};

/// Takes a request through its stages until one parks or ends it. Request must be parked or new.
void advance(step_context &context, exchange &request);

/// Refuses a request and forgets it; request is gone afterwards.
stage_verdict refuse(step_context &context, exchange &request, result_code code, execution ran, duration retryAfter);

/// Hands the answer on and forgets the request; request is gone afterwards.
void deliver(step_context &context, exchange &request);

/// Claims the idempotency key of a request that may not be repeated.
stage_verdict claimIdempotencyKey(step_context &context, exchange &request);

/// Ends the claim of a request that is about to be forgotten.
void concludeClaim(step_context &context, const exchange &request);

/// Takes an event to the claims and acts on what they decide.
void updateClaims(step_context &context, const claims_event &event);

/// Hands an earlier answer on and forgets the request; request is gone afterwards.
void replay(step_context &context, exchange &request, std::span<const std::byte> answer);

/// Checks route, key and freshness of a new request and puts it into the state; refuses it otherwise.
void acceptRequest(step_context &context, const request_head &head);

/// Chooses an instance and starts a try.
stage_verdict selectAndStartAttempt(step_context &context, exchange &request);

/// Reacts to the end of a try: delivers, tries again or refuses.
void concludeAttempt(step_context &context, exchange &request, const attempt_result &result);

/// Ends the requests whose deadline has passed before they were sent.
void expireRequests(step_context &context);

/// Reactions to announcements, here and at other VMs.
void updateUpstreams(step_context &context, const instance_announced &event);
/// Another VM hears an instance.
void updateUpstreams(step_context &context, const instance_reported &event);
/// Another VM doesn't answer for an instance any more.
void updateUpstreams(step_context &context, const instance_withdrawn &event);
/// A VM that answered for instances was lost or found.
void updateUpstreams(step_context &context, const vm_reachability_changed &event);
/// Tells the other VMs again of this VM, its own instances and its view of upstreams' health.
void republish(step_context &context);
/// Asks hubs, from time to time, what instances this VM lacks.
void requestKnownInstances(step_context &context);
/// Tells a VM that asked what it lacks.
void sendKnownInstances(step_context &context, const known_instances_requested &event);
/// Leases that have run out.
void expireInstances(step_context &context);

} // namespace guavafront
