#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>

#include <cstdint>
#include <optional>

namespace guavafront
{

/// Statement of the control leader: when it was issued, the revision was the highest one that had been accepted. VMs
/// pass beacons on in their answers to pings, to tell each other how fresh their configuration is.
struct beacon {
    term leaderTerm; ///< Term of the leader that issued it.
    std::uint64_t counter = 0; ///< Counts the beacons of a term.
    revision accepted; ///< Highest revision accepted when the beacon was issued.
    duration age{}; ///< Upper bound of the time since the leader issued the beacon, when the message with it was sent.

    /// Memberwise equality.
    bool operator==(const beacon &) const = default;
};

/// Newest beacon that this VM knows, and how old it may be.
struct beacon_state {
    std::optional<beacon> newest; ///< Beacon with the highest term and counter received, empty before the first; its
                                  ///< age is unused.
    instant issuedAfter; ///< The leader issued the newest beacon, or a later one, at this time or after it.
    instant renewalDue; ///< No control VM is asked for a beacon before this time.
};

/// Takes a beacon from the answer to a request that was sent at askedAt. However long the answer was delayed, the
/// beacon is at most as old as its age plus the time since askedAt. A message that doesn't answer a request has no such
/// bound; its beacon must not be passed to this function. True when the beacon is newer than the known one, or when it
/// is the same one with a tighter bound of its age.
bool receiveBeacon(beacon_state &state, const beacon &received, instant askedAt);

/// Issues the leader's own beacon. At or after asOf, the quorum confirmed that it was still the leader.
void issueBeacon(beacon_state &state, term leaderTerm, std::uint64_t counter, revision accepted, instant asOf);

/// The beacon to send in an answer now, with its present age; nothing when none was received.
std::optional<beacon> relayedBeacon(const beacon_state &state, instant now);

/// Upper bound of the time since the leader issued the newest beacon; nothing when none was received.
std::optional<duration> beaconAge(const beacon_state &state, instant now);

/// Whether the relay of beacons is too slow, so that a control VM is to be asked now. True at most once in an interval;
/// the time of the question is stored in state.
bool takeRenewal(beacon_state &state, instant now);

} // namespace guavafront
