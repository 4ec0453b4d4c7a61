#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/registry/announcement.h>
#include <guavafront/coordination/registry/departure.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace guavafront
{

/// One process of an instance. Later processes may have the same name.
struct instance_process {
    std::string name; ///< Name of the instance.
    std::uint64_t startMs = 0; ///< Start of the process in Unix milliseconds.
    instance_id instance; ///< Identity of an instance that gives no name or no start; 0 for others.
    /// Orders by name first.
    auto operator<=>(const instance_process &) const = default; // NOLINT(modernize-use-nullptr): false alarm
};

/// Departure of a process, as this VM was told it.
struct recorded_departure {
    std::uint64_t sequence = 0; ///< Number of the announcement that said it; the highest of all if it is final.
    instance_state state = instance_state::Leaving; ///< Draining or Leaving.
    bool toPublish = false; ///< The instance told this VM, which didn't know it yet: it is to be published later.
    instant expires{}; ///< Time at which the departure is forgotten.
};

/// Departures of the last minutes. They are kept apart from the instances in the registry, which come and go with their
/// registrars: an older announcement that arrives late must not bring a departed instance back into use.
struct departure_record {
    /// Time for which departures are kept. As long as the spread map keeps the tombstones of withdrawn announcements.
    duration retention = std::chrono::minutes(10);
    /// Largest number of departures; beyond, the one that expires first is forgotten.
    std::size_t limit = 16'384;
    duration sweepPeriod = std::chrono::seconds(10); ///< Time between two removals of expired departures.
    std::map<instance_process, recorded_departure> byProcess; ///< The departures.
    instant nextSweep{}; ///< Time of the next removal of expired departures.
};

/// Records a departure, unless more is known. It must name the start of the process.
void recordDeparture(departure_record &state, const departure &told, bool toPublish, instant now);

/// Returns what an announcement amounts to: one that is older than the departure of its process has the departure's
/// state and sequence number. An announcement that itself says a departure is recorded.
announcement applyDepartures(departure_record &state, const announcement &received, instant now);

/// Whether the departure of an announced process is still to be published by this VM. Returns true once.
bool takeUnpublished(departure_record &state, const announcement &received);

/// Removes expired departures, if it is time.
void sweepDepartures(departure_record &state, instant now);

} // namespace guavafront
