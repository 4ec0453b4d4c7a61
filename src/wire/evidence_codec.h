#pragma once

#include <guavafront/coordination/avoidance/avoidance.h>

#include <cstddef>
#include <span>
#include <vector>

namespace guavafront
{

/// CBOR of one sign.
std::vector<std::byte> encodeEvidence(const instance_evidence &value);

/// The sign. Throws coordination_error (MessageMalformed, MessageTooLarge).
instance_evidence decodeEvidence(std::span<const std::byte> encoded);

} // namespace guavafront
