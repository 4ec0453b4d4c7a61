#pragma once

#include <cstdint>

namespace guavafront
{

/// Outcomes that were counted, without fading; may wrap around, of which the difference is free.
struct outcome_counts {
    std::uint32_t good = 0; ///< Good ones.
    std::uint32_t bad = 0; ///< Bad ones.
};

/// What was counted between two times.
outcome_counts operator-(const outcome_counts &later, const outcome_counts &earlier);

/// G statistic (likelihood-ratio test; Wilks, 1938) of an instance failing more than its peers did in the same time; 0
/// when it doesn't.
float gStatistic(const outcome_counts &instance, const outcome_counts &peers);

} // namespace guavafront
