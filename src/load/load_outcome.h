#pragma once

#include "http/upstream_connection.h"
#include "load/load_result.h"

namespace guavafront
{

/// Classifies the end of a request. An answer counts as a refusal by the fleet when it carries problem details with a
/// known result code.
load_outcome loadOutcomeOf(const upstream_outcome &outcome);

} // namespace guavafront
