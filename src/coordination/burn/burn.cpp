#include <guavafront/coordination/burn/burn.h>

#include <algorithm>
#include <array>
#include <cassert>

namespace guavafront
{

namespace
{

constexpr double wholePercent = 100;

using reading_table = std::map<burn_subject, burn_reading>;

reading_table readingsBySubject(const burn_sample &sample)
{
    reading_table table;
    for (const burn_reading &reading : sample.readings) {
        table[reading.subject] = reading;
    }
    return table;
}

/// Returns by how much a daemon's counters have grown. `earlier` is null if they were 0 because the daemon's previous
/// sample did not have the subject.
burn_increment incrementBetween(duration at, const burn_reading *earlier, const burn_reading &later)
{
    const bool reset = earlier && (later.total < earlier->total || later.bad < earlier->bad);
    if (!earlier || reset) {
        return {.at = at, .total = later.total, .bad = later.bad};
    }
    return {.at = at, .total = later.total - earlier->total, .bad = later.bad - earlier->bad};
}

burn_window windowOf(std::span<const burn_increment> increments, const burn_time_range &range, duration length,
                     double allowedShare)
{
    burn_window window{.length = length, .covered = std::min(length, range.to - range.from)};
    for (const burn_increment &increment : increments) {
        if (increment.at > range.to - length) {
            window.total += increment.total;
            window.bad += increment.bad;
        }
    }
    if (window.total > 0) {
        window.burnRate = window.bad / window.total / allowedShare;
    }
    return window;
}

std::vector<burn_point> plotPointsOf(std::span<const burn_increment> increments, const burn_time_range &range,
                                     std::size_t count, double allowedShare)
{
    const duration step = (range.to - range.from) / static_cast<std::int64_t>(count);
    std::vector<burn_point> points;
    auto next = increments.begin();
    for (std::size_t index = 1; index <= count && step > duration::zero(); ++index) {
        const duration end = index == count ? range.to : range.from + step * static_cast<std::int64_t>(index);
        double total = 0;
        double bad = 0;
        for (; next != increments.end() && next->at <= end; ++next) {
            total += next->total;
            bad += next->bad;
        }
        points.push_back({.at = end, .burnRate = total > 0 ? bad / total / allowedShare : 0});
    }
    return points;
}

} // namespace

burn_event_class classifyResult(std::string_view result)
{
    constexpr std::array<std::string_view, 4> excluded{"over_rate", "key_missing", "key_unknown", "no_route"};
    if (result == "ok") {
        return burn_event_class::Good;
    }
    return std::ranges::find(excluded, result) != excluded.end() ? burn_event_class::Excluded : burn_event_class::Bad;
}

burn_history burnHistoryOf(std::span<const burn_sample> samples)
{
    std::vector<const burn_sample *> ordered;
    for (const burn_sample &sample : samples) {
        ordered.push_back(&sample);
    }
    std::ranges::stable_sort(ordered, {}, &burn_sample::at);
    burn_history history;
    std::map<std::string_view, reading_table> lastReadings;
    for (const burn_sample *sample : ordered) {
        reading_table current = readingsBySubject(*sample);
        const auto previous = lastReadings.find(sample->source);
        if (previous == lastReadings.end()) {
            lastReadings.emplace(sample->source, std::move(current));
            continue;
        }
        for (const auto &[subject, reading] : current) {
            const auto earlier = previous->second.find(subject);
            history[subject].push_back(
                incrementBetween(sample->at, earlier == previous->second.end() ? nullptr : &earlier->second, reading));
        }
        previous->second = std::move(current);
    }
    return history;
}

std::vector<burn_rule> recommendedBurnRules()
{
    using std::chrono::hours;
    using std::chrono::minutes;
    return {{.name = "page", .longWindow = hours(1), .shortWindow = minutes(5), .threshold = 14.4},
            {.name = "page", .longWindow = hours(6), .shortWindow = minutes(30), .threshold = 6},
            {.name = "ticket", .longWindow = hours(72), .shortWindow = hours(6), .threshold = 1}};
}

burn_time_range sampledTimeRange(std::span<const burn_sample> samples)
{
    assert(!samples.empty());
    const auto [first, last] = std::ranges::minmax(samples, {}, &burn_sample::at);
    return {.from = first.at, .to = last.at};
}

burn_state burnStateOf(const burn_subject &subject, std::span<const burn_increment> increments,
                       const burn_time_range &range, double objectivePercent, const burn_policy &policy)
{
    assert(objectivePercent > 0 && objectivePercent < wholePercent);
    const double allowedShare = 1 - objectivePercent / wholePercent;
    burn_state state{.subject = subject,
                     .objectivePercent = objectivePercent,
                     .periodWindow = windowOf(increments, range, policy.period, allowedShare)};
    // Time of the period before the first sample is assumed to have spent no budget.
    const double coveredShare =
        static_cast<double>(state.periodWindow.covered.count()) / static_cast<double>(policy.period.count());
    state.budgetLeft = 1 - state.periodWindow.burnRate * coveredShare;
    for (const burn_rule &rule : policy.rules) {
        burn_alert alert{.rule = rule,
                         .longWindow = windowOf(increments, range, rule.longWindow, allowedShare),
                         .shortWindow = windowOf(increments, range, rule.shortWindow, allowedShare)};
        alert.firing = alert.longWindow.burnRate >= rule.threshold && alert.shortWindow.burnRate >= rule.threshold;
        state.alerts.push_back(std::move(alert));
    }
    state.points = plotPointsOf(increments, range, policy.pointCount, allowedShare);
    return state;
}

bool isFiring(const burn_state &state)
{
    return std::ranges::any_of(state.alerts, &burn_alert::firing);
}

} // namespace guavafront
