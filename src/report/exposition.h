#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace guavafront
{

/// One value of a page of metrics.
struct metric_value {
    std::string name; ///< Of the metric, "_bucket" and the like included.
    std::map<std::string, std::string, std::less<>> labels; ///< By name.
    double value = 0; ///< Finite.

    /// Value of a label; empty when there is none.
    std::string_view label(std::string_view labelName) const;
};

/// Lines of a page of metrics that a burn report needs, as they stand.
std::string burnMetricLines(std::string_view page);

/// Values of a page as the daemons' own prometheus-cpp writes it: the Prometheus text format 0.0.4 without time stamps.
/// Throws coordination_error (MessageMalformed).
std::vector<metric_value> parseExposition(std::string_view page);

} // namespace guavafront
