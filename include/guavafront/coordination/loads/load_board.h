#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace guavafront
{

/// Load of one instance in its own words.
struct instance_load {
    instance_id instance; ///< The instance.
    std::uint32_t requests = 0; ///< That run and wait there.
    duration age{}; ///< Since it said so.
    bool operator==(const instance_load &) const = default; ///< Memberwise equality.
};

/// Newest loads that any VM was told, gathered where many VMs report.
struct load_board {
    struct known_load {
        std::uint32_t requests = 0; ///< That ran and waited there.
        instant at{}; ///< When it said so.
        instant changedAt{}; ///< When that was learned here.
    };

    duration memory = std::chrono::seconds(3); ///< Older loads say nothing.
    std::unordered_map<instance_id, known_load> loads; ///< By instance.
};

/// Takes loads; those older than what is known are dropped.
void noteLoads(load_board &board, std::span<const instance_load> loads, instant now);

/// Loads that were learned after a time, with their ages; forgets the oldest.
std::vector<instance_load> loadsSince(load_board &board, instant since, instant now);

} // namespace guavafront
