#pragma once

#include <guavafront/coordination/registry/catch_up.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <variant>
#include <vector>

namespace guavafront
{

/// A VM asks what instances it lacks.
struct instances_request {
    std::uint64_t fingerprint = 0; ///< Of those that it knows.
    bool operator==(const instances_request &) const = default; ///< Memberwise equality.
};

/// Part of the answer.
struct instances_list {
    std::vector<instance_record> instances; ///< At most maxInstancesPerMessage.
    bool operator==(const instances_list &) const = default; ///< Memberwise equality.
};

/// Messages by which a VM catches up with the known instances.
using catch_up_message = std::variant<instances_request, instances_list>;

/// Instances in one message, some 100 bytes each.
constexpr std::size_t maxInstancesPerMessage = 64;

/// CBOR of a message.
std::vector<std::byte> encodeCatchUp(const catch_up_message &message);

/// Reads encodeCatchUp()'s bytes. Throws coordination_error (MessageTooLarge, MessageMalformed).
catch_up_message decodeCatchUp(std::span<const std::byte> encoded);

} // namespace guavafront
