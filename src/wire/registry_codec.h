#pragma once

#include <guavafront/coordination/registry/announcement.h>

#include <cstddef>
#include <span>
#include <vector>

namespace guavafront
{

/// CBOR of an announcement, for the other VMs; the lease travels as a duration.
std::vector<std::byte> encodeAnnouncement(const announcement &value);

/// Reads encodeAnnouncement()'s bytes. Throws coordination_error (MessageTooLarge, MessageMalformed).
announcement decodeAnnouncement(std::span<const std::byte> bytes);

} // namespace guavafront
