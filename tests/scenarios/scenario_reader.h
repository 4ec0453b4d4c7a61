#pragma once

#include "scenarios/scenario.h"

#include <string>
#include <string_view>
#include <vector>

namespace guavafront
{

/// Reads the scenarios of a file, given as JSON with comments: one scenario, or one for each combination of the
/// alternatives in the file's table. The name is the first part of the scenarios' names. Throws coordination_error
/// (SettingInvalid, SettingUnknown) with the path of the faulty value.
std::vector<scenario> readScenarios(const std::string &name, std::string_view text);

} // namespace guavafront
