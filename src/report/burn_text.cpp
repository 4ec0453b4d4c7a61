#include "report/burn_report.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace guavafront
{

namespace
{

using nlohmann::ordered_json;

constexpr double wholePercent = 100;

double millisecondsOf(duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

std::string padded(std::string text, std::size_t width)
{
    text.resize(std::max(text.size() + 1, width), ' ');
    return text;
}

std::string alertText(const burn_alert &alert)
{
    const bool partial = alert.longWindow.covered < alert.longWindow.length;
    return alert.rule.name + " " + durationText(alert.rule.longWindow) + "/" + durationText(alert.rule.shortWindow)
           + ": " + numberText(alert.longWindow.burnRate, 2) + "/" + numberText(alert.shortWindow.burnRate, 2) + " of "
           + numberText(alert.rule.threshold, 1) + (partial ? " (partial)" : "") + (alert.firing ? " FIRING" : "");
}

ordered_json toJson(const burn_window &window)
{
    return {{"length_ms", millisecondsOf(window.length)},
            {"covered_ms", millisecondsOf(window.covered)},
            {"total", window.total},
            {"bad", window.bad},
            {"burn_rate", window.burnRate}};
}

ordered_json toJson(const burn_state &state)
{
    ordered_json alerts = ordered_json::array();
    for (const burn_alert &alert : state.alerts) {
        alerts.push_back({{"name", alert.rule.name},
                          {"threshold", alert.rule.threshold},
                          {"long", toJson(alert.longWindow)},
                          {"short", toJson(alert.shortWindow)},
                          {"firing", alert.firing}});
    }
    ordered_json points = ordered_json::array();
    for (const burn_point &point : state.points) {
        points.push_back({{"at_ms", millisecondsOf(point.at)}, {"burn_rate", point.burnRate}});
    }
    return {{"kind", subjectKindName(state.subject.kind)},
            {"name", state.subject.name},
            {"objective", objectiveName(state.subject.objective)},
            {"objective_percent", state.objectivePercent},
            {"firing", isFiring(state)},
            {"budget_left", state.budgetLeft},
            {"period", toJson(state.periodWindow)},
            {"alerts", alerts},
            {"points", points}};
}

} // namespace

std::string burnText(const burn_report &report)
{
    std::string text = "Burn report of " + timeText(report.covered.to) + ": " + std::to_string(report.samples)
                       + " samples of " + std::to_string(report.sources.size()) + " daemons over "
                       + durationText(report.covered.to - report.covered.from) + ", budget for "
                       + durationText(report.period) + "\n";
    if (report.states.empty()) {
        text += "no requests were counted, or only one sample of each daemon\n";
    }
    for (const burn_state &state : report.states) {
        text += padded(std::string(subjectKindName(state.subject.kind)) + " " + state.subject.name, 32);
        text += padded(std::string(objectiveName(state.subject.objective)), 14);
        text += padded(numberText(state.objectivePercent, 3) + "%", 10);
        text += "budget left " + numberText(state.budgetLeft * wholePercent, 2) + "%, bad "
                + numberText(state.periodWindow.bad, 0) + " of " + numberText(state.periodWindow.total, 0) + "\n";
        for (const burn_alert &alert : state.alerts) {
            text += "    " + alertText(alert) + "\n";
        }
    }
    return text;
}

std::string burnJson(const burn_report &report)
{
    ordered_json states = ordered_json::array();
    for (const burn_state &state : report.states) {
        states.push_back(toJson(state));
    }
    const ordered_json document{{"from_ms", millisecondsOf(report.covered.from)},
                                {"to_ms", millisecondsOf(report.covered.to)},
                                {"period_ms", millisecondsOf(report.period)},
                                {"samples", report.samples},
                                {"sources", report.sources},
                                {"firing", std::ranges::any_of(report.states, isFiring)},
                                {"subjects", states}};
    return document.dump(2, ' ', false, ordered_json::error_handler_t::replace) + "\n";
}

} // namespace guavafront
