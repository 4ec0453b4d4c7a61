#pragma once

#include <guavafront/coordination/core/identifiers.h>

#include <cstdint>
#include <span>
#include <vector>

namespace guavafront
{

/// How strongly the fleet wants an instance out of rotation; the stronger are granted first.
enum class ejection_claim : std::uint8_t {
    Ejected, ///< Some VM ejects it already: it takes up capacity whether or not it is granted here.
    Corroborated, ///< Enough VMs of one data centre agree, for long enough that all VMs have heard.
    Own, ///< This VM's evidence alone.
};

/// Instance that some VM wants out of rotation.
struct ejection_request {
    instance_id instance; ///< The instance.
    std::uint32_t slots = 1; ///< Capacity that would go with it.
    ejection_claim claim = ejection_claim::Own; ///< How strongly.
    bool appliesHere = false; ///< Suspect in this VM's data centre, or by its own evidence.
};

/// Slots that may be out of rotation so that at least floorPercent of totalSlots stay.
std::uint32_t ejectableSlots(std::uint32_t totalSlots, std::uint32_t floorPercent);

/// The requests that fit above the floor and apply here, in order of id. All VMs grant in one order, by claim and then
/// by id, so that those that hear each other grant the same ones; what another data centre holds out counts too.
std::vector<instance_id> grantEjections(std::span<const ejection_request> requests, std::uint32_t totalSlots,
                                        std::uint32_t floorPercent);

} // namespace guavafront
