#include "report/burn_report.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <tuple>

namespace guavafront
{

burn_report makeBurnReport(std::span<const metrics_sample> samples, const report_settings &settings)
{
    std::vector<burn_sample> readings;
    burn_report report{.samples = samples.size(), .sources = {}, .period = settings.policy.period, .states = {}};
    for (const metrics_sample &sample : samples) {
        readings.push_back(burnSampleOf(sample, settings));
        report.sources.insert(sample.source);
    }
    report.covered = sampledTimeRange(readings);
    for (const auto &[subject, increments] : burnHistoryOf(readings)) {
        report.states.push_back(
            burnStateOf(subject, increments, report.covered, objectivePercentOf(settings, subject), settings.policy));
    }
    std::ranges::stable_sort(report.states, {}, [](const burn_state &state) {
        return std::tuple(std::ranges::find_if(state.alerts, &burn_alert::firing) - state.alerts.begin(),
                          state.budgetLeft);
    });
    return report;
}

std::string_view subjectKindName(burn_subject_kind kind)
{
    return kind == burn_subject_kind::Service ? "service" : "account";
}

std::string_view objectiveName(burn_objective objective)
{
    return objective == burn_objective::Availability ? "availability" : "latency";
}

std::string durationText(duration span)
{
    constexpr std::array<std::pair<std::int64_t, const char *>, 3> units{{{86'400, " d"}, {3'600, " h"}, {60, " min"}}};
    const std::int64_t seconds = std::chrono::duration_cast<std::chrono::seconds>(span).count();
    for (const auto &[size, name] : units) {
        if (seconds >= size && seconds % size == 0) {
            return std::to_string(seconds / size) + name;
        }
    }
    return std::to_string(seconds) + " s";
}

std::string timeText(duration sinceEpoch)
{
    const std::time_t seconds = std::chrono::duration_cast<std::chrono::seconds>(sinceEpoch).count();
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 64> text{};
    const std::size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%S UTC", &parts);
    return {text.data(), size};
}

std::string numberText(double value, int digits)
{
    std::array<char, 64> text{};
    const int size = std::snprintf(text.data(), text.size(), "%.*f", digits, value);
    return {text.data(), static_cast<std::size_t>(std::clamp(size, 0, static_cast<int>(text.size()) - 1))};
}

} // namespace guavafront
