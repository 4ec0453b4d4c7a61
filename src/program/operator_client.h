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

/// How a command reaches the control.
struct operator_client {
    std::vector<endpoint> servers; ///< Operators' addresses of the control VMs.
    std::string token; ///< Operator's token.
};

/// Body of GET target from the first control VM that answers well. Throws coordination_error.
std::string readFromControl(const operator_client &client, std::string_view target);

/// Has the first control VM that knows it release a held-back request; the body of its answer. Throws
/// coordination_error.
std::string releaseFromQuarantine(const operator_client &client, request_fingerprint request);

/// Highest revision that a control VM names. Throws coordination_error.
revision currentRevision(const operator_client &client);

/// Sends a change to one control VM after the other until one decides it; every try carries the same request ID, so
/// that it is accepted at most once. Throws coordination_error (ChangeOutcomeUnknown when it may have been accepted).
change_answer submitChange(const operator_client &client, const change_request &request);

/// Asks the control VMs in turn for the leader, which replaces or removes a member. Throws coordination_error.
change_answer submitReplacement(const operator_client &client, const replacement_request &request);

/// Answer of "how far has an accepted revision come?".
struct confirmation_status {
    result_code code = result_code::NotConfirmed; ///< Ok: in force on all live entry VMs.
    std::string json; ///< For the operator.
};

/// Asks the leader how far the revision has come, again and again until it is in force everywhere or the limit has
/// passed. A leader that can't be asked leaves the answer at "accepted".
confirmation_status awaitConfirmation(const operator_client &client, revision accepted, duration limit);

/// Fresh random request ID.
change_id randomChangeId();

} // namespace guavafront
