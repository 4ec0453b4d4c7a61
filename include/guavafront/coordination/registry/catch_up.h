#pragma once

#include <guavafront/coordination/registry/registry.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace guavafront
{

/// One known instance, as it is told to a VM that lacks it.
struct told_instance {
    vm_id hearer; ///< VM that answers for it.
    announcement news; ///< What it said last.
    bool operator==(const told_instance &) const = default; ///< Memberwise equality.
};

/// When a VM compares its instances with a hub's: often soon after its start, when it has missed all that was told
/// before, and rarely later, to repair what got lost.
struct catch_up {
    duration joinTime = std::chrono::seconds(3); ///< Instances announce themselves within about half of it.
    duration joinPeriod = std::chrono::milliseconds(250); ///< Between two questions soon after the start.
    duration period = std::chrono::seconds(10); ///< Between two questions later.
    std::optional<instant> startedAt; ///< First look at the time.
    instant askedAt{}; ///< Last question.
};

/// Summary of the instances and their states, the same whatever the order in which they were learned.
std::uint64_t fingerprintOf(const registry &state);

/// What a VM with another summary is told: everything. Nothing when the summaries agree.
std::vector<told_instance> instancesToTell(const registry &state, std::uint64_t fingerprint);

/// Whether a question is due now; notes that it is asked.
bool takeQuestion(catch_up &state, instant now);

/// When the next question is due.
instant nextQuestion(const catch_up &state);

} // namespace guavafront
