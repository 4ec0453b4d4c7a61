#pragma once

#include <guavafront/coordination/core/time.h>

#include <optional>
#include <string_view>

namespace guavafront
{

/// Reads a Retry-After field in seconds, whole ones (RFC 9110 section 10.2.3) or with a fraction. Returns nothing for
/// a date or any other text, and for a negative number; more than a day counts as a day.
std::optional<duration> retryAfterOf(std::string_view text);

} // namespace guavafront
