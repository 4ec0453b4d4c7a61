#pragma once

#include <guavafront/coordination/core/identifiers.h>

#include <cstdint>
#include <span>
#include <vector>

namespace guavafront
{

/// What an instance may lose; the stronger claims are granted first.
enum class ejection_basis : std::uint8_t {
    Agreed, ///< A majority of all VMs consents that it is out of rotation.
    Suspected, ///< No majority: by evidence of this VM or its data centre it gets few turns, but stays in rotation.
};

/// Instance that some VM wants out of rotation, or to get few turns.
struct ejection_request {
    instance_id instance; ///< The instance.
    std::uint32_t slots = 1; ///< Capacity that would go with it.
    ejection_basis basis = ejection_basis::Suspected; ///< How strongly.
    bool appliesHere = false; ///< Suspect in this VM's data centre, or by its own evidence.
};

/// Slots that may be out of rotation so that at least floorPercent of totalSlots stay.
std::uint32_t ejectableSlots(std::uint32_t totalSlots, std::uint32_t floorPercent);

/// The requests that fit above the floor and apply here, in order of id. They are granted in order of claim and id;
/// what is agreed but doesn't apply here, as another data centre holds it out, takes up capacity too.
std::vector<instance_id> grantEjections(std::span<const ejection_request> requests, std::uint32_t totalSlots,
                                        std::uint32_t floorPercent);

} // namespace guavafront
