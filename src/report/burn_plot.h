#pragma once

#include <guavafront/coordination/burn/burn.h>

#include <string>
#include <string_view>

namespace guavafront
{

/// Returns the text with the characters &, <, > and " replaced by HTML entities.
std::string escapedHtml(std::string_view text);

/// Plots a subject's burn rate over the covered time as an SVG element. Horizontal lines mark the burn rate 1 and the
/// lowest alert threshold above 1, if that is within the scale.
std::string burnPlot(const burn_state &state, const burn_time_range &covered);

} // namespace guavafront
