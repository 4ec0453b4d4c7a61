#pragma once

#include "scenarios/scenario.h"

#include <string>
#include <string_view>
#include <vector>

namespace guavafront
{

/// Scenarios from JSON with comments: one, or one for each combination of the file's table. Throws coordination_error
/// (SettingInvalid, SettingUnknown) with the path of the fault.
std::vector<scenario> readScenarios(const std::string &name, std::string_view text);

} // namespace guavafront
