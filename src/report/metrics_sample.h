#pragma once

#include "report/report_settings.h"

#include <guavafront/coordination/burn/burn.h>

#include <string>
#include <string_view>
#include <vector>

namespace guavafront
{

/// Lines of one daemon's metrics page, read at one time. Samples are saved in this raw form, so that a report can apply
/// other objectives to them later.
struct metrics_sample {
    std::string source; ///< Metrics address of the daemon, as "IP:port".
    duration at{}; ///< Time of the reading since the Unix epoch, by the collector's clock, in whole milliseconds.
    std::string lines; ///< Lines of the page that burnMetricLines() selects.

    /// Compares all members.
    bool operator==(const metrics_sample &) const = default;
};

/// Formats a sample as one line of JSON for a sample file, including the line end.
std::string toLine(const metrics_sample &sample);

/// Parses the text of a sample file. A last line without a line end is skipped, because a collector that was
/// interrupted while writing leaves one. Throws coordination_error (MessageMalformed) with the number of the malformed
/// line.
std::vector<metrics_sample> parseSamples(std::string_view text);

/// Computes the event counts of each subject from a sample. A request is within a latency objective if it is in the
/// histogram bucket with the highest bound that is not above the objective's limit. Throws coordination_error
/// (MessageMalformed) if the sample holds a malformed metrics line.
burn_sample burnSampleOf(const metrics_sample &sample, const report_settings &settings);

} // namespace guavafront
