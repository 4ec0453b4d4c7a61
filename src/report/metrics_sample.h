#pragma once

#include "report/report_settings.h"

#include <guavafront/coordination/burn/burn.h>

#include <string>
#include <string_view>
#include <vector>

namespace guavafront
{

/// What one daemon's page of metrics said, as samples are saved: objectives may change afterwards.
struct metrics_sample {
    std::string source; ///< "IP:port" of the daemon's metrics.
    duration at{}; ///< Since the Unix epoch, by the collector's clock, in whole milliseconds.
    std::string lines; ///< Lines of the page as burnMetricLines() gives them.

    /// Memberwise equality.
    bool operator==(const metrics_sample &) const = default;
};

/// Line of a file of samples, line end included.
std::string toLine(const metrics_sample &sample);

/// Samples of a file; an unfinished last line (a collector that was cut off) is left out. Throws coordination_error
/// (MessageMalformed) naming the line.
std::vector<metrics_sample> parseSamples(std::string_view text);

/// Readings under the objectives. A latency objective counts at the histogram's highest bound that isn't above it.
/// Throws coordination_error (MessageMalformed).
burn_sample burnSampleOf(const metrics_sample &sample, const report_settings &settings);

} // namespace guavafront
