#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace guavafront
{

/// One time series of a metrics page with its value.
struct metric_value {
    std::string name; ///< Name of the metric, including suffixes such as "_bucket".
    std::map<std::string, std::string, std::less<>> labels; ///< Label values by label name.
    double value = 0; ///< Value of the series, always finite.

    /// Returns the value of a label, or an empty string if the series does not have the label.
    std::string_view label(std::string_view labelName) const;
};

/// Returns the lines of a metrics page that a burn report needs, unchanged and in their order.
std::string burnMetricLines(std::string_view page);

/// Parses a metrics page in the form in which the daemons write it with prometheus-cpp: the Prometheus text format
/// 0.0.4 without time stamps. Comment lines are skipped. Throws coordination_error (MessageMalformed), also for a value
/// that is not finite.
std::vector<metric_value> parseExposition(std::string_view page);

} // namespace guavafront
