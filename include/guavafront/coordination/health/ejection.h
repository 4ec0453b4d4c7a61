#pragma once

#include <guavafront/coordination/core/identifiers.h>

#include <cstdint>
#include <span>
#include <vector>

namespace guavafront
{

/// Grounds on which an instance is to be avoided, strongest first. Requests on stronger grounds are granted first.
enum class ejection_basis : std::uint8_t {
    Agreed, ///< A majority of all VMs consents to taking the instance out of rotation.
    Suspected, ///< Only this VM or its data centre has evidence: the instance stays in rotation with a low weight.
};

/// Instance that some VM wants to take out of rotation or to give a low weight.
struct ejection_request {
    instance_id instance; ///< Instance to avoid.
    std::uint32_t slots = 1; ///< Slots of the instance, which are lost when the request is granted.
    ejection_basis basis = ejection_basis::Suspected; ///< Grounds of the request.
    bool appliesHere = false; ///< This VM or its data centre suspects the instance, so that this VM has to act.
};

/// Largest number of slots that may be out of rotation while at least floorPercent of totalSlots stay.
std::uint32_t ejectableSlots(std::uint32_t totalSlots, std::uint32_t floorPercent);

/// Grants requests in order of basis and instance id as long as the floor allows, and returns the granted instances
/// that this VM has to avoid, in order of id. An agreed ejection that doesn't apply here also takes up ejectable slots,
/// since another data centre keeps the instance out of rotation.
std::vector<instance_id> grantEjections(std::span<const ejection_request> requests, std::uint32_t totalSlots,
                                        std::uint32_t floorPercent);

} // namespace guavafront
