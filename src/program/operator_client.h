#pragma once

#include "settings/endpoint.h"

#include <guavafront/coordination/configuration/change_log.h>

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

/// Revision in force according to the control. Throws coordination_error.
revision currentRevision(const operator_client &client);

/// Sends a change to one control VM after the other until one decides it; every try carries the same request ID, so
/// that it is accepted at most once. Throws coordination_error (ChangeOutcomeUnknown when it may have been accepted).
change_answer submitChange(const operator_client &client, const change_request &request);

/// Fresh random request ID.
change_id drawChangeId();

} // namespace guavafront
