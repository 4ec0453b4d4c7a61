#pragma once

#include <guavafront/coordination/loads/load_totals.h>

#include <cstddef>
#include <span>
#include <vector>

namespace guavafront
{

/// Who sends loads, and to whom they go on.
enum class load_stage : std::uint8_t {
    Reported, ///< An entry VM's own observations, for its hub.
    Gathered, ///< A hub's, for the other hubs.
    Published, ///< A hub's, for its entry VMs.
};

/// Loads on their way.
struct load_message {
    load_stage stage = load_stage::Reported; ///< Who sends them.
    std::vector<instance_load> loads; ///< The loads.
    bool operator==(const load_message &) const = default; ///< Memberwise equality.
};

/// CBOR of loads.
std::vector<std::byte> encodeLoads(const load_message &message);

/// The loads. Throws coordination_error (MessageMalformed, MessageTooLarge).
load_message decodeLoads(std::span<const std::byte> encoded);

} // namespace guavafront
