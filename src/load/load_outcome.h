#pragma once

#include "http/upstream_connection.h"
#include "load/load_result.h"

namespace guavafront
{

/// How a request of a load ended: a refusal is an answer with problem details that name a known code.
load_outcome loadOutcomeOf(const upstream_outcome &outcome);

} // namespace guavafront
