#pragma once

#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/routing/candidate_set.h>

namespace guavafront
{

/// What an instance's delay depends on, for a service whose routes differ in cost.
struct instance_work {
    float requests = 0; ///< Requests that run or wait at the instance.
    float workUs = 0; ///< Their expected work in microseconds.
    float typicalUs = 0; ///< Typical latency of the service in microseconds.
    float slots = 1; ///< Requests that the instance runs at once.
    float slowness = 1; ///< Observed to expected time of its answers.
    bool full = false; ///< It refused a request for lack of room a short time ago.
};

/// The member's load and work, of which requests of them are estimated.
instance_work workAt(const candidate_set &set, const candidate &member, float requests, bool reportIsFresh,
                     instant now);

/// Expected time until a slot is free for the last of queued requests, in microseconds.
float queueingUs(const instance_work &at, float queued);

/// Expected time until the answer beyond the request's own work, in microseconds. ownUs is the request's expected work.
float delayByWorkUs(const instance_work &at, float ownUs);

} // namespace guavafront
