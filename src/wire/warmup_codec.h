#pragma once

#include <guavafront/coordination/warmup/warmup.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace guavafront
{

/// Version of the messages about cold instances on the Registry channel. VMs that don't know it drop them.
constexpr std::uint8_t warmupVersion = 3;

/// Largest number of notices in one message.
constexpr std::size_t maxWarmupNotices = 1'024;

/// Encodes at most maxWarmupNotices notices as CBOR.
std::vector<std::byte> encodeWarmups(std::span<const warmup_notice> notices);

/// Decodes what encodeWarmups() wrote. Throws coordination_error (MessageTooLarge, MessageMalformed).
std::vector<warmup_notice> decodeWarmups(std::span<const std::byte> encoded);

} // namespace guavafront
