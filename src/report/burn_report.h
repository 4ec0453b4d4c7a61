#pragma once

#include "report/metrics_sample.h"
#include "report/report_settings.h"

#include <guavafront/coordination/burn/burn.h>

#include <set>
#include <span>
#include <string>
#include <vector>

namespace guavafront
{

/// Contents of a burn report, independent of its output format.
struct burn_report {
    burn_time_range covered; ///< From the first to the last sample; all windows of the report end at its end.
    std::size_t samples = 0; ///< Number of samples, that is metrics pages read.
    std::set<std::string> sources; ///< Metrics addresses of the sampled daemons, as "IP:port".
    duration period{}; ///< Length of the error budget period.
    std::vector<burn_state> states; ///< Ordered by the index of the first firing alert, then by the remaining budget.
};

/// Computes the report from the samples; there must be at least one. Throws coordination_error (MessageMalformed) if a
/// sample holds a malformed metrics line.
burn_report makeBurnReport(std::span<const metrics_sample> samples, const report_settings &settings);

/// Returns "service" or "account".
std::string_view subjectKindName(burn_subject_kind kind);

/// Returns "availability" or "latency".
std::string_view objectiveName(burn_objective objective);

/// Formats a duration in the largest of d, h, min and s that divides it, such as "5 min" or "3 d". Fractions of a
/// second are cut off.
std::string durationText(duration span);

/// Formats a time since the Unix epoch as "2026-12-04 13:08:00 UTC".
std::string timeText(duration sinceEpoch);

/// Formats a number with the given count of digits after the decimal point.
std::string numberText(double value, int digits);

/// Formats the report as plain text for a terminal.
std::string burnText(const burn_report &report);

/// Formats the report as a JSON document.
std::string burnJson(const burn_report &report);

/// Formats the report as one self-contained HTML page, which loads no other file.
std::string burnHtml(const burn_report &report);

} // namespace guavafront
