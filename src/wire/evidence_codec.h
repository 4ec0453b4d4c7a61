#pragma once

#include <guavafront/coordination/evidence/evidence_relay.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace guavafront
{

/// Version of the messages with evidence on the Health channel. VMs that don't know it drop them.
constexpr std::uint8_t evidenceVersion = 2;

/// Encodes evidence as CBOR.
std::vector<std::byte> encodeEvidence(const evidence_message &message);

/// Decodes what encodeEvidence() wrote. Throws coordination_error (MessageMalformed, MessageTooLarge, MessageUnknown).
evidence_message decodeEvidence(std::span<const std::byte> encoded, std::uint8_t version);

} // namespace guavafront
