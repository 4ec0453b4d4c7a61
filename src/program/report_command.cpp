#include "program/report_command.h"

#include "load/load_arguments.h"
#include "program/output_file.h"
#include "program/print_faults.h"
#include "report/burn_report.h"
#include "report/collect.h"
#include "settings/settings_reader.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <memory>

namespace guavafront
{

namespace
{

/// Command-line options of "report", before they are parsed further.
struct report_arguments {
    std::string settingsFile; ///< Path of the settings with objectives and alerts; empty uses the defaults.
    std::vector<std::string> sources; ///< Metrics addresses of the daemons to read, as "IP:port".
    double periodSeconds = 10; ///< Time between two rounds of readings, in seconds.
    std::size_t rounds = 7; ///< Number of readings of each daemon.
    std::string samplesFile; ///< Path of a file of saved samples that the report also includes; empty uses none.
    std::string collectFile; ///< Path of the file to append readings to; empty appends to none.
    std::string jsonFile; ///< Path of the file to write the report to as JSON; empty writes none.
    std::string htmlFile; ///< Path of the file to write the report to as HTML; empty writes none.
};

report_settings settingsOf(const report_arguments &given)
{
    if (given.settingsFile.empty()) {
        return {};
    }
    report_settings_result read = readReportSettings(readFile(given.settingsFile));
    requireNoFaults(given.settingsFile, read.faults);
    return std::move(read.values);
}

/// Appends a sample to a file and flushes it, so that an interrupted collection loses at most the last line. Throws
/// coordination_error (FileUnreadable) when the file can't be written.
void append(std::ofstream &file, const std::string &path, const metrics_sample &sample)
{
    file << toLine(sample);
    if (!file.flush()) {
        throw coordination_error(result_code::FileUnreadable, path + ": can't be written");
    }
}

/// Reads the metrics of the daemons into samples, and appends each sample to the collect file when one is given.
void collect(const report_arguments &given, std::vector<metrics_sample> &samples)
{
    constexpr double microsecondsPerSecond = 1e6;
    const collect_options options{.sources = parseEndpoints(given.sources, "--from"),
                                  .interval =
                                      duration(static_cast<std::int64_t>(given.periodSeconds * microsecondsPerSecond)),
                                  .rounds = given.rounds};
    std::ofstream file;
    if (!given.collectFile.empty()) {
        file.open(given.collectFile, std::ios::binary | std::ios::app);
    }
    collectSamples(
        options,
        [&](const metrics_sample &sample) {
            if (!given.collectFile.empty()) {
                append(file, given.collectFile, sample);
            }
            samples.push_back(sample);
        },
        [](const endpoint &source) { std::fprintf(stderr, "%s gave no metrics\n", toText(source).c_str()); });
}

exit_status runReport(const report_arguments &given)
{
    const report_settings settings = settingsOf(given);
    std::vector<metrics_sample> samples;
    if (!given.samplesFile.empty()) {
        samples = parseSamples(readFile(given.samplesFile));
    }
    if (!given.sources.empty()) {
        collect(given, samples);
    }
    if (samples.empty()) {
        throw coordination_error(result_code::FileUnreadable,
                                 "no samples: name daemons by --from or a file by --samples");
    }
    const burn_report report = makeBurnReport(samples, settings);
    std::fputs(burnText(report).c_str(), stdout);
    if (!given.jsonFile.empty()) {
        writeOutputFile(given.jsonFile, burnJson(report));
    }
    if (!given.htmlFile.empty()) {
        writeOutputFile(given.htmlFile, burnHtml(report));
    }
    return std::ranges::any_of(report.states, isFiring) ? exit_status::Alert : exit_status::Done;
}

} // namespace

void addReportCommand(CLI::App &app, command_action &action)
{
    const auto given = std::make_shared<report_arguments>();
    CLI::App *command =
        app.add_subcommand("report", "Shows how fast services and client accounts spend their error budgets");
    command->add_option("--settings", given->settingsFile, "Objectives and alerts, JSON with comments");
    CLI::Option *from = command->add_option("--from", given->sources, "IP:port of a daemon's metrics; several");
    command->add_option("--every-s", given->periodSeconds, "Seconds between two readings")
        ->check(CLI::Range(0.1, 3'600.0));
    command->add_option("--rounds", given->rounds, "Readings of each daemon")->check(CLI::Range(1, 10'000'000));
    command->add_option("--samples", given->samplesFile, "File of saved samples to report on");
    command->add_option("--collect", given->collectFile, "File that readings are appended to")->needs(from);
    command->add_option("--json", given->jsonFile, "File for the report as JSON");
    command->add_option("--html", given->htmlFile, "File for the report as a page for a browser");
    command->callback([&action, given] {
        action = [given] {
            return runReport(*given);
        };
    });
}

} // namespace guavafront
