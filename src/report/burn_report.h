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

/// All that the report shows.
struct burn_report {
    burn_time_range covered; ///< Time of the samples; its end is the report's "now".
    std::size_t samples = 0; ///< Pages read.
    std::set<std::string> sources; ///< Daemons that were read.
    duration period{}; ///< The budget is for so long.
    std::vector<burn_state> states; ///< By the first alert that fires, then by what is left of the budget.
};

/// Report over samples, which are not empty. Throws coordination_error (MessageMalformed).
burn_report makeBurnReport(std::span<const metrics_sample> samples, const report_settings &settings);

/// "service" or "account".
std::string_view subjectKindName(burn_subject_kind kind);

/// "availability" or "latency".
std::string_view objectiveName(burn_objective objective);

/// A span as "5 min", "3 d" or the like.
std::string durationText(duration span);

/// Time since the Unix epoch as "2026-12-04 13:08:00 UTC".
std::string timeText(duration sinceEpoch);

/// The number with some digits after the point.
std::string numberText(double value, int digits);

/// The report as text for a terminal.
std::string burnText(const burn_report &report);

/// The report as JSON.
std::string burnJson(const burn_report &report);

/// The report as one page of HTML that needs no other file.
std::string burnHtml(const burn_report &report);

} // namespace guavafront
