#pragma once

#include "coordination/entry/entry_step.h"

#include <guavafront/coordination/quarantine/fingerprint.h>
#include <guavafront/coordination/retries/retry.h>

namespace guavafront
{

/// What is visible of a request before it runs, for the estimate of its work.
work_key workKeyOf(const exchange &request);

/// What the request usually takes: by its own kind where the service's routes differ in cost, otherwise the service's
/// typical latency, without a tail.
work_estimate usualTime(const entry &state, const exchange &request);

/// Fingerprint that identifies equal requests in the quarantine.
request_fingerprint fingerprintOf(const exchange &request);

/// Whether the request is in quarantine now.
bool isRequestQuarantined(const entry &state, const exchange &request);

/// Records the end of an attempt for load balancing, health tracking and quarantine.
void recordAttemptEnd(step_context &context, const exchange &request, const attempt_result &result);

/// Describes a failed attempt for the decision on a retry. ran tells whether this attempt may have run the request.
failed_attempt describeFailedAttempt(const step_context &context, const exchange &request, const attempt_result &result,
                                     execution ran);

/// Evaluates upstream health when that is due, and publishes changes to the other VMs.
void updateUpstreamHealth(step_context &context);

/// Takes the minimum share of healthy instances from the configuration: the fleet's default and services' exceptions.
void updateHealthyFloors(upstream_selection &selection, const configuration &current);

/// Updates the selection of instances after a change of the registry.
void syncSelection(step_context &context);

/// Reports the number of this VM's requests at instances to its hub when a report is due.
void reportLoads(step_context &context);

/// Records evidence about an instance and, when it is new, broadcasts it to the other entry VMs.
void broadcastEvidence(step_context &context, const instance_report &evidence);

} // namespace guavafront
