#pragma once

#include <guavafront/coordination/avoidance/avoidance.h>

#include <cstddef>
#include <span>
#include <vector>

namespace guavafront
{

/// CBOR of one instance report.
std::vector<std::byte> encodeEvidence(const instance_report &value);

/// The report. Throws coordination_error (MessageMalformed, MessageTooLarge).
instance_report decodeEvidence(std::span<const std::byte> encoded);

} // namespace guavafront
