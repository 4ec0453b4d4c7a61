#pragma once

#include "settings/endpoint.h"
#include "wire/replacement_json.h"

#include <guavafront/coordination/configuration/change_log.h>
#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/quarantine/fingerprint.h>

#include <string>
#include <string_view>
#include <vector>

namespace guavafront
{

/// Addresses and credentials with which a command reaches the control VMs.
struct operator_client {
    std::vector<endpoint> servers; ///< Addresses at which the control VMs serve operators, tried in order.
    std::string token; ///< Token that authorizes the operator.
};

/// Sends GET target to the control VMs in order and returns the body of the first answer below status 300. Throws
/// coordination_error with the last error when there is none.
std::string readFromControl(const operator_client &client, std::string_view target);

/// Releases a request from quarantine at the first control VM that accepts the release, and returns the body of its
/// answer. Throws coordination_error with the last error when none does.
std::string releaseFromQuarantine(const operator_client &client, request_fingerprint request);

/// Highest configuration revision that any control VM reports. Throws coordination_error when none reports one.
revision currentRevision(const operator_client &client);

/// Sends a change to the control VMs in order until one accepts or rejects it. Every attempt carries the same request
/// ID, so the change is accepted at most once. Returns the last error when no VM can have accepted it. Throws
/// coordination_error (ChangeOutcomeUnknown) when none decided but one may have accepted it.
change_answer submitChange(const operator_client &client, const change_request &request);

/// Sends the replacement or removal of a control member to the control VMs in order until one answers other than
/// NotLeader. Returns the last error when none does.
change_answer submitReplacement(const operator_client &client, const replacement_request &request);

/// Whether the live entry VMs have confirmed an accepted revision.
struct confirmation_status {
    result_code code = result_code::NotConfirmed; ///< Ok when the revision is in force on all live entry VMs.
    std::string json; ///< The leader's answer, or a substitute when it couldn't be asked; printed to the operator.
};

/// Polls the leader until the revision is in force on all live entry VMs or the limit has passed. While no leader
/// answers, the result keeps the last known state, at first "accepted". Throws coordination_error when the leader
/// refuses the question for good (NotAuthorized, RevisionUnknown).
confirmation_status awaitConfirmation(const operator_client &client, revision accepted, duration limit);

/// Generates a random request ID.
change_id randomChangeId();

} // namespace guavafront
