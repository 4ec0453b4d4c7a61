#include "report/burn_plot.h"
#include "report/burn_report.h"

#include <algorithm>

namespace guavafront
{

namespace
{

constexpr double wholePercent = 100;
constexpr std::size_t maxPlots = 24; // More plots make the page slow to read; the table lists every objective.

constexpr std::string_view pageHead = R"(<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>guavafront: burn report</title>
<style>
:root { color-scheme: light dark; --text: #1c2330; --soft: #5d6778; --page: #f6f7f9; --card: #fff; --edge: #dde1e8;
  --line: #2463c4; --bad: #b3261e; --good: #1c7c43; --fill: #e3ebf8; }
@media (prefers-color-scheme: dark) { :root { --text: #e6e9ef; --soft: #9aa4b5; --page: #14181f; --card: #1d232d;
  --edge: #323a47; --line: #7fb0ff; --bad: #ff8a80; --good: #6fd394; --fill: #25344d; } }
body { margin: 0; padding: 24px; background: var(--page); color: var(--text);
  font: 15px/1.45 system-ui, "Segoe UI", sans-serif; }
main { max-width: 1320px; margin: 0 auto; }
h1 { font-size: 22px; margin: 0 0 4px; } h2 { font-size: 17px; margin: 28px 0 10px; }
p { margin: 4px 0; color: var(--soft); max-width: 110ch; }
.card { background: var(--card); border: 1px solid var(--edge); border-radius: 8px; padding: 14px; }
.scroll { overflow-x: auto; padding: 0; }
table { border-collapse: collapse; width: 100%; font-size: 14px; }
th, td { padding: 7px 10px; text-align: left; border-bottom: 1px solid var(--edge); white-space: nowrap; }
th { color: var(--soft); font-weight: 600; white-space: normal; vertical-align: bottom; } tr:last-child td { border-bottom: 0; }
td.number { text-align: right; font-variant-numeric: tabular-nums; }
.firing { color: var(--bad); font-weight: 600; } .calm { color: var(--good); }
.bar { display: inline-block; width: 90px; height: 8px; border-radius: 4px; background: var(--edge); margin-right: 8px; }
.bar i { display: block; height: 8px; border-radius: 4px; background: var(--good); }
.plots { display: grid; grid-template-columns: repeat(auto-fill, minmax(340px, 1fr)); gap: 14px; }
.plots h3 { font-size: 14px; margin: 0 0 6px; } svg { width: 100%; height: auto; display: block; }
svg text { fill: var(--soft); font-size: 11px; } svg .axis { stroke: var(--edge); }
svg .rate { fill: none; stroke: var(--line); stroke-width: 2; stroke-linejoin: round; } svg .area { fill: var(--fill); }
svg .limit { stroke: var(--bad); stroke-dasharray: 4 4; } svg .even { stroke: var(--soft); stroke-dasharray: 2 4; }
</style>
</head>
<body><main>
)";

std::string titleOf(const burn_subject &subject)
{
    return escapedHtml(subject.name) + ", " + std::string(objectiveName(subject.objective)) + " ("
           + std::string(subjectKindName(subject.kind)) + ")";
}

std::string summaryOf(const burn_report &report)
{
    const auto firing = std::ranges::count_if(report.states, isFiring);
    std::string html = "<h1>Service-level burn</h1>\n<p>" + timeText(report.covered.from) + " to "
                       + timeText(report.covered.to) + "; " + std::to_string(report.samples) + " samples of "
                       + std::to_string(report.sources.size()) + " daemons; budget for " + durationText(report.period)
                       + ".</p>\n";
    html += firing == 0 ? R"(<p class="calm">No alert fires.</p>)"
                        : R"(<p class="firing">Alerts fire for )" + std::to_string(firing) + " of "
                              + std::to_string(report.states.size()) + " objectives.</p>";
    return html
           + "\n<p>A burn rate of 1 spends the budget in exactly its period. Refusals over_rate, key_missing, "
             "key_unknown and no_route are no events; all other refusals and upstreams' errors spend budget.</p>\n";
}

std::string budgetCell(double left)
{
    const double filled = std::clamp(left, 0.0, 1.0) * wholePercent;
    const std::string figure = numberText(left * wholePercent, 1) + "%";
    return R"(<td><span class="bar"><i style="width:)" + numberText(filled, 0) + R"(%"></i></span>)"
           + (left < 0 ? R"(<span class="firing">)" + figure + "</span>" : figure) + "</td>";
}

std::string alertCell(const burn_alert &alert)
{
    const bool partial = alert.longWindow.covered < alert.longWindow.length;
    return std::string(alert.firing ? R"(<td class="number firing">)" : R"(<td class="number">)")
           + numberText(alert.longWindow.burnRate, 2) + " / " + numberText(alert.shortWindow.burnRate, 2)
           + (partial ? "*" : "") + "</td>";
}

/// Table cell with the names of the firing alerts, each name once.
std::string firingCell(const burn_state &state)
{
    std::string names;
    for (const burn_alert &alert : state.alerts) {
        if (alert.firing && names.find(alert.rule.name) == std::string::npos) {
            names += (names.empty() ? "" : ", ") + alert.rule.name;
        }
    }
    return names.empty() ? R"(<td class="calm">none</td>)" : R"(<td class="firing">)" + escapedHtml(names) + "</td>";
}

std::string rowOf(const burn_state &state)
{
    std::string html = "<tr>" + firingCell(state);
    html += "<td>" + escapedHtml(state.subject.name) + "</td>";
    html += "<td>" + std::string(subjectKindName(state.subject.kind)) + "</td>";
    html += "<td>" + std::string(objectiveName(state.subject.objective)) + "</td>";
    html += R"(<td class="number">)" + numberText(state.objectivePercent, 3) + "%</td>";
    html += budgetCell(state.budgetLeft);
    html += R"(<td class="number">)" + numberText(state.periodWindow.bad, 0) + " / "
            + numberText(state.periodWindow.total, 0) + "</td>";
    for (const burn_alert &alert : state.alerts) {
        html += alertCell(alert);
    }
    return html + "</tr>\n";
}

std::string tableOf(const burn_report &report)
{
    std::string html =
        R"(<h2>Objectives</h2><div class="card scroll"><table><tr><th>alert</th><th>name</th><th>kind</th>)"
        R"(<th>objective</th><th>target</th><th>budget left</th><th>bad / events</th>)";
    for (const burn_alert &alert : report.states.front().alerts) {
        html += "<th>" + durationText(alert.rule.longWindow) + " / " + durationText(alert.rule.shortWindow) + ", "
                + escapedHtml(alert.rule.name) + " at " + numberText(alert.rule.threshold, 1) + "</th>";
    }
    html += "</tr>\n";
    for (const burn_state &state : report.states) {
        html += rowOf(state);
    }
    return html + "</table></div>\n<p>* The samples don't reach back over the whole long window.</p>\n";
}

std::string plotsOf(const burn_report &report)
{
    std::string html = "<h2>Burn rate over time</h2>\n";
    if (report.states.size() > maxPlots) {
        html += "<p>The " + std::to_string(maxPlots) + " objectives that need a look first.</p>\n";
    }
    html += "<div class=\"plots\">\n";
    for (std::size_t index = 0; index < std::min(maxPlots, report.states.size()); ++index) {
        const burn_state &state = report.states[index];
        html += R"(<div class="card"><h3>)" + titleOf(state.subject) + "</h3>" + burnPlot(state, report.covered)
                + "</div>\n";
    }
    return html + "</div>\n";
}

} // namespace

std::string burnHtml(const burn_report &report)
{
    std::string html(pageHead);
    html += summaryOf(report);
    if (report.states.empty()) {
        html += "<p>No requests were counted, or only one sample of each daemon.</p>\n";
    } else {
        html += tableOf(report);
        html += plotsOf(report);
    }
    return html + "</main></body>\n</html>\n";
}

} // namespace guavafront
