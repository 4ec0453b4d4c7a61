#pragma once

#include <guavafront/coordination/loads/load_totals.h>

#include <cstddef>
#include <span>
#include <vector>

namespace guavafront
{

/// Sender and receiver of a load message.
enum class load_stage : std::uint8_t {
    Reported, ///< An entry VM sends the loads that it observes to its hub.
    Gathered, ///< A hub sends the loads that it has received to the other hubs.
    Published, ///< A hub sends the sums to its entry VMs.
};

/// Loads of upstream instances, as VMs exchange them.
struct load_message {
    load_stage stage = load_stage::Reported; ///< Sender and receiver of the message.
    std::vector<instance_load> loads; ///< Load of each instance.
    bool operator==(const load_message &) const = default; ///< Memberwise equality.
};

/// Encodes a load message as CBOR.
std::vector<std::byte> encodeLoads(const load_message &message);

/// Decodes what encodeLoads() wrote. Throws coordination_error (MessageMalformed, MessageTooLarge).
load_message decodeLoads(std::span<const std::byte> encoded);

} // namespace guavafront
