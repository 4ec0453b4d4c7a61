#include "http/retry_after.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>

namespace guavafront
{

std::optional<duration> retryAfterOf(std::string_view text)
{
    constexpr double maxSeconds = 86'400;
    constexpr double microsecondsPerSecond = 1e6;
    double seconds = 0;
    const char *const last = text.data() + text.size();
    const auto [end, failure] = std::from_chars(text.data(), last, seconds, std::chars_format::fixed);
    if (text.empty() || failure != std::errc() || end != last || !std::isfinite(seconds) || std::signbit(seconds)) {
        return std::nullopt;
    }
    return duration(static_cast<std::int64_t>(std::min(seconds, maxSeconds) * microsecondsPerSecond));
}

} // namespace guavafront
