#pragma once

#include <guavafront/coordination/registry/announcement.h>

#include <cstddef>
#include <span>
#include <vector>

namespace guavafront
{

/// Encodes an announcement as CBOR for the other VMs. The lease is sent as a duration.
std::vector<std::byte> encodeAnnouncement(const announcement &value);

/// Decodes what encodeAnnouncement() wrote. Throws coordination_error (MessageTooLarge, MessageMalformed).
announcement decodeAnnouncement(std::span<const std::byte> bytes);

} // namespace guavafront
