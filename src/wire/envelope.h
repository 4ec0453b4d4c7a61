#pragma once

#include "wire/byte_buffer.h"

#include <cstdint>
#include <span>

namespace guavafront
{

/// Subsystem that a message between VMs belongs to; numbers are stable between versions.
enum class channel : std::uint8_t {
    Control = 0, ///< The link itself: handshake.
    Replication = 1, ///< The log among control VMs.
    Configuration = 2, ///< Accepted revisions on their way to all VMs.
    Membership = 3, ///< Probes and member records.
    Spread = 4, ///< Small state, last version wins.
    Limits = 5, ///< Shares and leases of client accounts' rates.
    Claims = 6, ///< At-most-once claims.
    Health = 7, ///< Evidence about upstreams.
    Operators = 8, ///< Operators' requests forwarded between VMs.
    Registry = 9, ///< Changes of instances that all VMs must know at once.
    Ledger = 10, ///< Accounts' budgets, where nobody tells the size of the fleet.
    Loads = 11, ///< Instances' loads, gathered and told by hubs.
    CatchUp = 12, ///< Instances that a VM has missed.
    Last = CatchUp, ///< Highest known number.
};

/// One message between two VMs.
struct envelope {
    channel kind = channel::Control; ///< Who reads the body.
    std::uint8_t version = 1; ///< Version of the body's format.
    byte_buffer body; ///< Encoded by the subsystem's codec.

    /// Memberwise equality.
    bool operator==(const envelope &) const = default;
};

/// Bytes that an envelope adds to its body at most.
constexpr std::size_t envelopeOverheadBytes = 10;

/// Encoded envelope.
byte_buffer encodeEnvelope(const envelope &message);

/// Decoded envelope. Throws coordination_error (MessageTooLarge, MessageMalformed, MessageUnknown).
envelope decodeEnvelope(std::span<const std::byte> bytes, std::size_t maxBytes);

} // namespace guavafront
