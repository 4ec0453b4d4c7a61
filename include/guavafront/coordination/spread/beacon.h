#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>

#include <cstdint>
#include <optional>

namespace guavafront
{

/// The control leader's stamp: at the time it names, every change up to the revision was accepted and no later one.
struct beacon {
    term leaderTerm; ///< Term of the leader that issued it.
    std::uint64_t counter = 0; ///< Goes up with each beacon of a term.
    revision accepted; ///< Highest accepted revision.
    duration age{}; ///< Upper bound of the time since the leader issued it, in the sender's view.

    /// Memberwise equality.
    bool operator==(const beacon &) const = default;
};

/// How fresh this VM's knowledge of the accepted revision is.
struct beacon_state {
    std::optional<beacon> newest; ///< Highest term and counter heard; its age is unused.
    instant issuedAfter; ///< The leader issued the newest one, or a later one, at this time or after it.
};

/// Takes a beacon that answers a question asked at the given time. Whatever delayed the answer, the beacon is at most
/// its age plus the time since then old; a message that nobody asked for gives no such bound and is not accepted as
/// one. True when something was learnt.
bool receiveBeacon(beacon_state &state, const beacon &received, instant askedAt);

/// The leader's own beacon: its quorum answered a question that it asked at asOf.
void issueBeacon(beacon_state &state, term leaderTerm, std::uint64_t counter, revision accepted, instant asOf);

/// The beacon to give to a VM that asks now; nothing when none was heard.
std::optional<beacon> relayedBeacon(const beacon_state &state, instant now);

/// Upper bound of the time since the leader issued the newest beacon; nothing when none was heard.
std::optional<duration> beaconAge(const beacon_state &state, instant now);

} // namespace guavafront
