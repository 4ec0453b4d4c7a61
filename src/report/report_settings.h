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

/// Objectives of one service or, without latency, of one client account.
struct objective {
    double availabilityPercent = 99.9; ///< Share of events that must be good.
    double latencyMs = 300; ///< A slower end spends budget.
    double latencyPercent = 99; ///< Share of requests that must end in time.
};

/// Settings of the report.
struct report_settings {
    burn_policy policy; ///< Period and alerts.
    objective defaultObjective; ///< For all that have none of their own.
    std::map<std::string, objective, std::less<>> services; ///< Exceptions by service.
    std::map<std::string, objective, std::less<>> accounts; ///< Exceptions by client account.
};

/// What reading the report's settings gave.
struct report_settings_result {
    report_settings values; ///< Defaults where a setting is absent or faulty.
    std::vector<setting_fault> faults; ///< Empty when the settings can be used.
};

/// Settings from JSON with comments; reports every fault with its path.
report_settings_result readReportSettings(std::string_view text);

/// Objectives of a subject.
const objective &objectiveOf(const report_settings &settings, const burn_subject &subject);

/// Share in percent that a subject's objective promises.
double objectivePercentOf(const report_settings &settings, const burn_subject &subject);

} // namespace guavafront
