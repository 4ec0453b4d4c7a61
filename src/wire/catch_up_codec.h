#pragma once

#include <guavafront/coordination/registry/catch_up.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <variant>
#include <vector>

namespace guavafront
{

/// A VM's request for the upstream instances that its registry lacks.
struct instances_request {
    std::uint64_t fingerprint = 0; ///< registryFingerprint() of the instances that the sender knows.
    bool operator==(const instances_request &) const = default; ///< Memberwise equality.
};

/// Answer to instances_request, or a part of it: a long answer is sent as several messages.
struct instances_list {
    std::vector<instance_record> instances; ///< Known instances, at most maxInstancesPerMessage.
    bool operator==(const instances_list &) const = default; ///< Memberwise equality.
};

/// Message of the catch-up channel, by which a VM fills its registry from that of a hub.
using catch_up_message = std::variant<instances_request, instances_list>;

/// Largest number of instances in one message; one takes about 100 bytes.
constexpr std::size_t maxInstancesPerMessage = 64;

/// Encodes a message as CBOR.
std::vector<std::byte> encodeCatchUp(const catch_up_message &message);

/// Decodes what encodeCatchUp() wrote. Throws coordination_error (MessageTooLarge, MessageMalformed).
catch_up_message decodeCatchUp(std::span<const std::byte> encoded);

} // namespace guavafront
