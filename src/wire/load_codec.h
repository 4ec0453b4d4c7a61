#pragma once

#include <guavafront/coordination/loads/load_totals.h>
#include <guavafront/coordination/work/work_sharing.h>

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
    std::vector<route_samples> samples; ///< Service times that VMs observed; empty in Published.
    std::vector<shared_estimate> estimates; ///< What requests take; only in Published.
    bool operator==(const load_message &) const = default; ///< Memberwise equality.
};

/// Version of load messages with work, samples and estimates. A VM of the previous build can't decode them and drops
/// them, so that it gets the loads in version 1 as well or instead.
constexpr std::uint8_t workVersion = 2;

/// Encodes a load message as CBOR in version 1, with the numbers of requests alone.
std::vector<std::byte> encodeLoads(const load_message &message);

/// Encodes a load message as CBOR in workVersion.
std::vector<std::byte> encodeWork(const load_message &message);

/// Decodes what encodeLoads() or encodeWork() wrote, by the version. Throws coordination_error (MessageMalformed,
/// MessageTooLarge).
load_message decodeLoads(std::span<const std::byte> encoded, std::uint8_t version = 1);

} // namespace guavafront
