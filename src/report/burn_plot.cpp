#include "report/burn_plot.h"

#include "report/burn_report.h"

#include <algorithm>

namespace guavafront
{

namespace
{

// Positions and lengths are in units of the SVG view box.
constexpr double plotLeft = 44;
constexpr double plotRight = 410;
constexpr double plotTop = 12;
constexpr double plotBottom = 128;
constexpr double minTopBurnRate = 2; // Least upper end of the scale, so that a low burn rate is also drawn low.
constexpr double headroom = 1.1; // Ratio of the upper end of the scale to the highest burn rate.
constexpr double textHeight = 11;

/// Maps times and burn rates to positions in the SVG view box.
struct plot_scale {
    burn_time_range covered; ///< Time range from the left to the right edge of the plot.
    double topBurnRate; ///< Burn rate at the upper edge of the plot; higher ones are drawn there too.

    double x(duration at) const
    {
        const auto whole = static_cast<double>((covered.to - covered.from).count());
        return plotLeft + (plotRight - plotLeft) * static_cast<double>((at - covered.from).count()) / whole;
    }

    double y(double burnRate) const
    {
        return plotBottom - (plotBottom - plotTop) * std::min(burnRate / topBurnRate, 1.0);
    }
};

std::string coordinates(double x, double y)
{
    return numberText(x, 1) + "," + numberText(y, 1);
}

std::string horizontalLine(double y, std::string_view kind)
{
    const std::string height = numberText(y, 1);
    return "<line class=\"" + std::string(kind) + "\" x1=\"" + numberText(plotLeft, 0) + "\" x2=\""
           + numberText(plotRight, 0) + "\" y1=\"" + height + "\" y2=\"" + height + "\"/>";
}

std::string textAt(double x, double y, std::string_view anchor, const std::string &text)
{
    return "<text x=\"" + numberText(x, 1) + "\" y=\"" + numberText(y, 1) + "\" text-anchor=\"" + std::string(anchor)
           + "\">" + escapedHtml(text) + "</text>";
}

/// Draws a horizontal line at a burn rate, with the rate as a label to the left of the plot.
std::string labelledLine(const plot_scale &scale, double burnRate, std::string_view kind)
{
    constexpr double labelGap = 6;
    constexpr double halfTextHeight = 4;
    const double y = scale.y(burnRate);
    return horizontalLine(y, kind)
           + textAt(plotLeft - labelGap, y + halfTextHeight, "end",
                    numberText(burnRate, burnRate < minTopBurnRate ? 0 : 1));
}

/// Formats the time of day of a time since the Unix epoch as "HH:MM:SS" in UTC.
std::string timeOfDayText(duration at)
{
    constexpr std::size_t dateSize = 11;
    constexpr std::size_t clockSize = 8;
    return timeText(at).substr(dateSize, clockSize);
}

} // namespace

std::string escapedHtml(std::string_view text)
{
    std::string escaped;
    for (const char each : text) {
        switch (each) {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += each;
        }
    }
    return escaped;
}

std::string burnPlot(const burn_state &state, const burn_time_range &covered)
{
    constexpr double timeLabelY = 146;
    double highest = 0;
    for (const burn_point &point : state.points) {
        highest = std::max(highest, point.burnRate);
    }
    const plot_scale scale{.covered = covered, .topBurnRate = std::max(minTopBurnRate, highest * headroom)};
    std::string line;
    for (const burn_point &point : state.points) {
        line += coordinates(scale.x(point.at), scale.y(point.burnRate)) + " ";
    }
    std::string svg = R"(<svg viewBox="0 0 420 152" role="img" aria-label="burn rate over time">)";
    svg += horizontalLine(plotBottom, "axis") + textAt(plotLeft - 6, plotBottom + 4, "end", "0");
    if (!state.points.empty()) {
        svg += R"(<polygon class="area" points=")" + coordinates(scale.x(state.points.front().at), plotBottom) + " "
               + line + coordinates(plotRight, plotBottom) + R"("/>)";
    }
    const bool roomForLabel = scale.y(0) - scale.y(1) > textHeight;
    svg += roomForLabel ? labelledLine(scale, 1, "even") : horizontalLine(scale.y(1), "even");
    double lowestThreshold = scale.topBurnRate;
    for (const burn_alert &alert : state.alerts) {
        if (alert.rule.threshold > 1) {
            lowestThreshold = std::min(lowestThreshold, alert.rule.threshold);
        }
    }
    if (lowestThreshold < scale.topBurnRate) {
        svg += labelledLine(scale, lowestThreshold, "limit");
    }
    svg += R"(<polyline class="rate" points=")" + line + R"("/>)";
    svg += textAt(plotLeft, timeLabelY, "start", timeOfDayText(covered.from));
    svg += textAt(plotRight, timeLabelY, "end", timeOfDayText(covered.to) + " UTC");
    svg += textAt(plotLeft, plotTop - 2, "start", "peak " + numberText(highest, 1));
    return svg + "</svg>";
}

} // namespace guavafront
