#pragma once

#include "settings/settings_reader.h"

#include <guavafront/coordination/burn/burn.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace guavafront
{

/// Objectives of one service or client account. The latency objective applies to services only.
struct objective {
    double availabilityPercent = 99.9; ///< Share of counted requests that must succeed, in percent.
    double latencyMs = 300; ///< Time limit of a request in milliseconds; a slower one spends error budget.
    double latencyPercent = 99; ///< Share of requests that must end within latencyMs, in percent.
};

/// Settings of the burn report.
struct report_settings {
    burn_policy policy; ///< Period of the error budget, and alerting rules.
    objective defaultObjective; ///< Applies to services and accounts without an entry of their own.
    std::map<std::string, objective, std::less<>> services; ///< Objectives by service name that replace the default.
    std::map<std::string, objective, std::less<>> accounts; ///< Objectives by account name that replace the default.
};

/// Result of reading the report's settings.
struct report_settings_result {
    report_settings values; ///< Settings read; default values where a setting is absent or invalid.
    std::vector<setting_fault> faults; ///< All faults found; the settings are valid only if this is empty.
};

/// Reads settings from JSON, which may contain comments. Reports every fault with the path of its setting.
report_settings_result readReportSettings(std::string_view text);

/// Returns the objectives of the subject's service or account, or the default ones if it has no entry. The reference is
/// valid as long as the settings are.
const objective &objectiveOf(const report_settings &settings, const burn_subject &subject);

/// Returns the share of good events, in percent, that the subject's objective requires.
double objectivePercentOf(const report_settings &settings, const burn_subject &subject);

} // namespace guavafront
