#pragma once

#include <guavafront/coordination/departures/departures.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace guavafront
{

/// Version of the messages about departures on the Registry channel. VMs that don't know it drop them.
constexpr std::uint8_t departureVersion = 2;

/// Encodes a message as CBOR.
std::vector<std::byte> encodeDepartures(const departure_message &message);

/// Decodes what encodeDepartures() wrote. Throws coordination_error (MessageTooLarge, MessageMalformed).
departure_message decodeDepartures(std::span<const std::byte> encoded);

} // namespace guavafront
