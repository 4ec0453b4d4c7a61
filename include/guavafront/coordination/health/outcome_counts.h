#pragma once

#include <cstdint>

namespace guavafront
{

/// Counts of good and bad outcomes, without decay. They may wrap around; the difference of two counts stays right.
struct outcome_counts {
    std::uint32_t good = 0; ///< Number of good outcomes.
    std::uint32_t bad = 0; ///< Number of bad outcomes.
};

/// Outcomes that were counted between two times.
outcome_counts operator-(const outcome_counts &later, const outcome_counts &earlier);

/// G statistic of the likelihood-ratio test (Wilks, 1938) for an instance that fails more than its peers did in the
/// same time. It is 0 when the instance doesn't fail more.
float gStatistic(const outcome_counts &instance, const outcome_counts &peers);

} // namespace guavafront
