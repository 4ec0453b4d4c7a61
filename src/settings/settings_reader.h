#pragma once

#include "settings/daemon_settings.h"

#include <guavafront/coordination/core/result_code.h>

#include <string>
#include <string_view>
#include <vector>

namespace guavafront
{

/// Fault found in one setting of a settings file.
struct setting_fault {
    result_code code; ///< SettingInvalid or SettingUnknown.
    std::string path; ///< Path of the setting, such as "entry.maxBodyBytes"; empty for the whole file.
    std::string text; ///< Says what is wrong or what is allowed, to be read after the path.
};

/// Result of reading a settings file.
struct settings_result {
    daemon_settings values; ///< Settings read; only usable when there are no faults. Absent ones have their default.
    std::vector<setting_fault> faults; ///< All faults found; empty when the settings can be used.
};

/// Reads settings from JSON text, in which comments are allowed. Reports every fault, not only the first.
settings_result readSettings(std::string_view text);

/// Reads settings from a file as readSettings() does. Throws coordination_error (FileUnreadable).
settings_result readSettingsFile(const std::string &path);

/// Formats all settings that have a value as JSON that readSettings() accepts.
std::string showSettings(const daemon_settings &values);

/// Reads the whole content of a file. Throws coordination_error (FileUnreadable).
std::string readFile(const std::string &path);

/// Reads a secret from a file, without line ends at its end. Throws coordination_error: FileUnreadable; FileExposed
/// when users other than the owner and group have access to the file; SettingInvalid when the secret is shorter than 16
/// bytes.
std::string readSecretFile(const std::string &path);

} // namespace guavafront
