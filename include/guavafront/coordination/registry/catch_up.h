#pragma once

#include <guavafront/coordination/registry/registry.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace guavafront
{

/// One known instance, as it is told to a VM that lacks it.
struct instance_record {
    vm_id registrar; ///< VM that answers for it.
    announcement last; ///< What it said last.
    bool operator==(const instance_record &) const = default; ///< Memberwise equality.
};

/// When a VM compares its instances with a hub's: often soon after its start, when it has missed all that was told
/// before, and rarely later, to repair what got lost.
struct catch_up {
    duration startupPeriod = std::chrono::seconds(3); ///< Instances announce themselves within about half of it.
    duration startupInterval = std::chrono::milliseconds(250); ///< Between two questions soon after the start.
    duration interval = std::chrono::seconds(10); ///< Between two questions later.
    std::optional<instant> startedAt; ///< First look at the time.
    instant lastQueryAt{}; ///< Last question.
};

/// Summary of the instances and their states, the same whatever the order in which they were learned.
std::uint64_t registryFingerprint(const registry &state);

/// What a VM with another summary is told: everything. Nothing when the summaries agree.
std::vector<instance_record> instancesForCatchUp(const registry &state, std::uint64_t fingerprint);

/// Whether a question is due now; notes that it is asked.
bool takeDueQuery(catch_up &state, instant now);

/// When the next question is due.
instant nextQueryAt(const catch_up &state);

} // namespace guavafront
