#pragma once

#include "coordination/entry/entry_step.h"

#include <guavafront/coordination/quarantine/fingerprint.h>
#include <guavafront/coordination/retries/retry.h>

namespace guavafront
{

/// What stands for a request in the quarantine.
request_fingerprint fingerprintOf(const exchange &request);

/// Whether the request is held back now.
bool isRequestQuarantined(const entry &state, const exchange &request);

/// Hands the end of a try to balancing, health and quarantine.
void recordAttemptEnd(step_context &context, const exchange &request, const attempt_result &result);

/// The try as retries see it. ran tells whether the whole request can have run, earlier tries included.
failed_attempt describeFailedAttempt(const step_context &context, const exchange &request, const attempt_result &result,
                                     execution ran);

/// Moves health on when it is due, and tells the other VMs what changed.
void updateUpstreamHealth(step_context &context);

/// Takes the floors of the configuration, the fleet's and those of single services.
void updateHealthyFloors(upstream_selection &selection, const configuration &current);

/// Follows a change of the registry.
void syncSelection(step_context &context);

/// Tells the hub of this VM's requests at instances, when due.
void reportLoads(step_context &context);

/// Notes a report here and, when it is news, has the other VMs told.
void broadcastEvidence(step_context &context, const instance_report &evidence);

} // namespace guavafront
