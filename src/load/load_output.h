#pragma once

#include "load/load_result.h"
#include "load/load_run.h"

#include <string>

namespace guavafront
{

/// Results as a page of text.
std::string loadText(const load_options &options, const load_result &result);

/// Results as JSON; times are in microseconds. The page docs/design/load.md explains each member.
std::string loadJson(const load_options &options, const load_result &result);

/// One line that says how far a load is.
std::string progressLine(const load_plan &plan, duration elapsed, const load_result &result);

} // namespace guavafront
