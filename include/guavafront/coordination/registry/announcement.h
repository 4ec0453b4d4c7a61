#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>

#include <cstdint>
#include <string>

namespace guavafront
{

/// Lifecycle state that an upstream instance reports of itself.
enum class instance_state : std::uint8_t {
    Starting, ///< Running but not ready; gets no requests.
    Serving, ///< Takes new requests.
    Draining, ///< Finishes its running requests and takes no new ones.
    Leaving, ///< About to exit; takes no new requests.
};

/// Registration of an upstream instance, which the instance sends regularly.
struct announcement {
    instance_id instance; ///< Identity that the instance draws at its start.
    std::string name; ///< For logs and for upstreams that check which instance a request is for; may be empty.
    std::uint64_t processStartMs = 0; ///< Start of its process in Unix milliseconds. Of two instances at one address
                                      ///< the one that started later is the present one.
    std::uint64_t sequence = 0; ///< Sequence number; increases with each announcement of the instance.
    std::string service; ///< Service that the instance belongs to.
    std::string ip; ///< Address for requests: dotted IPv4, or IPv6 without brackets.
    std::uint16_t port = 0; ///< TCP port for requests.
    std::string dataCentre; ///< Data centre that the instance runs in.
    std::uint16_t slots = 1; ///< Number of requests that the instance runs at once.
    instance_state state = instance_state::Serving; ///< Lifecycle state.
    float load = 0; ///< Share of its slots in use, 0 to 1; a hint that may be outdated or wrong.
    duration warmupLeft{}; ///< Remaining time in which the instance is slow after its start.
    duration lease{}; ///< Time without an announcement after which the instance counts as gone.

    /// Memberwise equality.
    bool operator==(const announcement &) const = default;
};

/// Whether the process of a has taken over the address of b's: same address, another instance, started later.
bool replacesAtAddress(const announcement &a, const announcement &b);

/// Whether the difference must be published to other VMs. Changes of only the sequence number, the load and the warm-up
/// time stay at the VM that received the announcement.
bool mustBePublished(const announcement &before, const announcement &after);

} // namespace guavafront
