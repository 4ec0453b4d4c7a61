#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>

#include <cstdint>
#include <string>

namespace guavafront
{

/// Where an upstream instance stands in its life, in its own words.
enum class instance_state : std::uint8_t {
    Starting, ///< Running but not ready; gets no requests.
    Serving, ///< Takes new requests.
    Draining, ///< Finishes what it runs, takes nothing new.
    Leaving, ///< About to exit; takes nothing new.
};

/// What an upstream instance says of itself.
struct announcement {
    instance_id instance; ///< Drawn by the instance at its start.
    std::string name; ///< Its own name, for logs and for upstreams that check who is meant; may be empty.
    std::uint64_t processStartMs =
        0; ///< Start of its process in Unix milliseconds; of two at one address the later one is there.
    std::uint64_t sequence = 0; ///< Goes up with each announcement of the instance.
    std::string service; ///< Service it belongs to.
    std::string ip; ///< IPv4 dotted or IPv6 without brackets.
    std::uint16_t port = 0; ///< TCP port for requests.
    std::string dataCentre; ///< Data centre it stands in.
    std::uint16_t slots = 1; ///< Requests it runs at once.
    instance_state state = instance_state::Serving; ///< Where it stands in its life.
    float load = 0; ///< Share of its slots in use, 0 to 1; a hint that may lag or lie.
    duration warmupLeft{}; ///< How much longer it stays slow after its start.
    duration lease{}; ///< It is gone when silent for longer.

    /// Memberwise equality.
    bool operator==(const announcement &) const = default;
};

/// Whether a's process took over the address of b's.
bool replacesAtAddress(const announcement &a, const announcement &b);

/// Whether other VMs must hear of the difference; renewals and load reports stay at the VM that hears them.
bool mustBePublished(const announcement &before, const announcement &after);

} // namespace guavafront
