#pragma once

#include "coordination/entry/entry_step.h"

namespace guavafront
{

/// Puts a request into the queue by urgency of its service; the queue may shed it or another one. Used in place of
/// queueForSlot() with entry_policy::urgencyOrder.
stage_verdict queueByUrgency(step_context &context, exchange &request);

/// Admits the waiting requests of a service that this VM's share of the capacity allows, and refuses those whose turn
/// would come too late.
void admitByUrgency(step_context &context, const std::string &service);

/// Removes a request that ends from the queue by urgency, or gives back its part of the share.
void leaveByUrgency(service_admission &admission, exchange &request, instant now);

/// Bounds the time after which the caller of a request that didn't run may resend it by a third of what the caller has
/// left, since callers come back no later than that, and spreads it so that they don't return at the same time.
duration boundedRetryAfter(const step_context &context, const exchange &request, duration retryAfter);

} // namespace guavafront
