#pragma once

#include "settings/settings_reader.h"

#include <span>
#include <string>

namespace guavafront
{

/// Prints each fault of a settings file to standard error. Throws coordination_error (SettingInvalid) unless faults is
/// empty.
void requireNoFaults(const std::string &file, std::span<const setting_fault> faults);

} // namespace guavafront
