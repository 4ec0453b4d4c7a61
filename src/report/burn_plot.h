#pragma once

#include <guavafront/coordination/burn/burn.h>

#include <string>
#include <string_view>

namespace guavafront
{

/// The text with what HTML reserves written as entities.
std::string escapedHtml(std::string_view text);

/// Plot of a subject's burn rate over the covered time as an SVG element, with a line at 1 and at the lowest threshold
/// that is above 1 and fits.
std::string burnPlot(const burn_state &state, const burn_time_range &covered);

} // namespace guavafront
