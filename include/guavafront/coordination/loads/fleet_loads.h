#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/loads/load_totals.h>

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>

namespace guavafront
{

/// Loads of all instances of the fleet by the hubs' sums, also of those that this VM sends nothing to.
struct fleet_loads {
    /// Time without sums, while some are due, after which the known ones are outdated.
    duration validity = std::chrono::seconds(2);
    /// Time after which a restarted VM has heard of most loads: hubs send only the sums that have changed.
    duration learningTime = std::chrono::seconds(1);
    std::unordered_map<instance_id, std::uint32_t> requestsByInstance; ///< Instances with requests.
    std::optional<instant> firstHeardAt; ///< When the first sums arrived; nothing before.
    instant lastHeardAt{}; ///< When the last sums arrived.
    /// Time after the last sums during which they show which instances have had no request. Hubs send them each 0.1 s
    /// under load; a VM that is cut off must not take an instance for unused that others spare on purpose.
    duration useValidity = std::chrono::milliseconds(400);
    /// Time of the first own report since the last sums; nothing while none is due. A VM that sends no request hears
    /// nothing when no other sends one either, which is no failure of the hub.
    std::optional<instant> dueSince;
};

/// Records sums that a hub sent.
void recordSums(fleet_loads &state, std::span<const instance_load> sums, instant now);

/// Records that this VM reported its own loads to the hub, which then sends sums.
void expectSums(fleet_loads &state, instant now);

/// Whether the sums show the present loads.
bool areSumsCurrent(const fleet_loads &state, instant now);

/// Whether the sums show which instances had no request lately.
bool isUseKnown(const fleet_loads &state, instant now);

/// Requests at an instance by the last sum; 0 without one.
std::uint32_t requestsAt(const fleet_loads &state, instance_id instance);

} // namespace guavafront
