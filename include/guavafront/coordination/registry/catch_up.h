#pragma once

#include <guavafront/coordination/registry/registry.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace guavafront
{

/// One known instance, as it is sent to a VM that lacks it.
struct instance_record {
    vm_id registrar; ///< VM that keeps the instance's lease.
    announcement last; ///< Newest announcement of the instance.
    bool operator==(const instance_record &) const = default; ///< Memberwise equality.
};

/// When a VM compares its registry with that of a hub: often soon after its start, because it has missed everything
/// published before, and rarely later, to repair lost messages.
struct catch_up {
    duration startupPeriod = std::chrono::seconds(3); ///< Time after the start in which queries are frequent; the
                                                      ///< instances announce themselves within about half of it.
    duration startupInterval = std::chrono::milliseconds(250); ///< Time between two queries in startupPeriod.
    duration interval = std::chrono::seconds(10); ///< Time between two queries after startupPeriod.
    std::optional<instant> startedAt; ///< Time of the first call of takeDueQuery; absent before it.
    instant lastQueryAt{}; ///< Time of the last query; 0 before the first.
};

/// Fingerprint of the known instances and their states; it doesn't depend on the order in which they were learned.
std::uint64_t registryFingerprint(const registry &state);

/// Answer to a VM whose registry has the given fingerprint: all instances when it differs from the own fingerprint,
/// nothing when they agree.
std::vector<instance_record> instancesForCatchUp(const registry &state, std::uint64_t fingerprint);

/// Whether a query is due now; if so, it is recorded as sent.
bool takeDueQuery(catch_up &state, instant now);

/// When the next query is due.
instant nextQueryAt(const catch_up &state);

} // namespace guavafront
