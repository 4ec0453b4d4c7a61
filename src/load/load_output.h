#pragma once

#include "load/load_result.h"
#include "load/load_run.h"

#include <string>

namespace guavafront
{

/// Formats the results as a text table for operators.
std::string loadText(const load_options &options, const load_result &result);

/// Formats the results as JSON, with times in microseconds. docs/design/load.md explains each member.
std::string loadJson(const load_options &options, const load_result &result);

/// Formats the progress of a running load as one line without a line break.
std::string progressLine(const load_plan &plan, duration elapsed, const load_result &result);

} // namespace guavafront
