#pragma once

#include "wire/byte_buffer.h"

#include <cstdint>
#include <span>

namespace guavafront
{

/// Subsystem that a message between VMs belongs to. The numbers are the same in all versions of the program.
enum class channel : std::uint8_t {
    Control = 0, ///< Handshake of the link itself.
    Replication = 1, ///< Replication of the log between control VMs.
    Configuration = 2, ///< Distribution of accepted configuration revisions to all VMs.
    Membership = 3, ///< Liveness probes and member records.
    Spread = 4, ///< Small replicated entries, of which the highest version wins.
    Limits = 5, ///< Shares and leases of client accounts' request rates.
    Claims = 6, ///< Claims, by which a request runs at most once.
    Health = 7, ///< Evidence about the health of upstream instances.
    Operators = 8, ///< Operators' requests that one VM forwards to another.
    Registry = 9, ///< Changes of upstream instances that all VMs must know immediately.
    Ledger = 10, ///< Client accounts' budgets, used when the size of the fleet isn't configured.
    Loads = 11, ///< Loads of upstream instances, which hubs sum up and publish.
    CatchUp = 12, ///< Upstream instances that a VM lacks, sent on its request.
    Last = CatchUp, ///< Highest known number.
};

/// One message between two VMs.
struct envelope {
    channel kind = channel::Control; ///< Subsystem that decodes the body.
    std::uint8_t version = 1; ///< Version of the body's format; each subsystem has its own.
    byte_buffer body; ///< Message of the subsystem, as its codec encoded it.

    /// Memberwise equality.
    bool operator==(const envelope &) const = default;
};

/// Largest number of bytes that an encoded envelope adds to its body.
constexpr std::size_t envelopeOverheadBytes = 10;

/// Whether an encoded body may be compressed, which the receiver must understand.
enum class body_compression : std::uint8_t {
    Never, ///< The body is sent as it is.
    IfSmaller, ///< A large body is compressed if that makes it smaller, which a sample of it tells beforehand.
};

/// Encodes an envelope as CBOR.
byte_buffer encodeEnvelope(const envelope &message, body_compression compression = body_compression::Never);

/// Decodes what encodeEnvelope() wrote. maxBytes bounds the message, and its body once it is decompressed. Throws
/// coordination_error (MessageTooLarge, MessageMalformed, MessageUnknown).
envelope decodeEnvelope(std::span<const std::byte> bytes, std::size_t maxBytes);

} // namespace guavafront
