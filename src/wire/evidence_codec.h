#pragma once

#include <guavafront/coordination/avoidance/avoidance.h>

#include <cstddef>
#include <span>
#include <vector>

namespace guavafront
{

/// Encodes an instance report as CBOR.
std::vector<std::byte> encodeEvidence(const instance_report &value);

/// Decodes what encodeEvidence() wrote. Throws coordination_error (MessageMalformed, MessageTooLarge).
instance_report decodeEvidence(std::span<const std::byte> encoded);

} // namespace guavafront
