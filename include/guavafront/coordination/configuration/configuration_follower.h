#pragma once

#include <guavafront/coordination/configuration/change.h>
#include <guavafront/coordination/core/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <span>
#include <variant>
#include <vector>

namespace guavafront
{

/// Keyed digest of all accepted changes up to a revision: each is made of the one before and of the revision's changes.
using history_digest = std::array<std::byte, 32>;

/// One accepted revision.
struct configuration_delta {
    revision atRevision; ///< The revision that the changes make.
    history_digest previousDigest{}; ///< Digest of the revision before.
    history_digest digest{}; ///< Digest of this one; the host has checked it against previous and changes.
    std::vector<change> changes; ///< Applied in order.
    bool operator==(const configuration_delta &) const = default; ///< Memberwise equality.
};

/// What a VM holds.
struct held_revision {
    revision atRevision; ///< Its revision.
    history_digest digest{}; ///< Digest of its history.
    bool operator==(const held_revision &) const = default; ///< Memberwise equality.
};

/// Where a snapshot is to be continued.
struct snapshot_position {
    revision atRevision; ///< Revision of the snapshot; 0 asks for the sender's present one.
    std::uint64_t offset = 0; ///< Bytes that the asking VM has.
    bool operator==(const snapshot_position &) const = default; ///< Memberwise equality.
};

/// Part of an encoded configuration.
struct snapshot_part {
    held_revision held; ///< What the whole snapshot holds.
    history_digest seal{}; ///< Keyed digest of the whole snapshot.
    std::uint64_t totalBytes = 0; ///< Size of the whole.
    std::uint64_t offset = 0; ///< Where the part starts.
    std::vector<std::byte> bytes; ///< The part.
    bool operator==(const snapshot_part &) const = default; ///< Memberwise equality.
};

/// Settings of a follower.
struct follower_options {
    duration offerInterval = std::chrono::seconds(2); ///< Between two comparisons with a random source.
    duration pullTimeout = std::chrono::milliseconds(800); ///< After which another source is asked.
    duration eagerInterval = std::chrono::milliseconds(500); ///< The same while a revision is new.
    duration emptyInterval = std::chrono::milliseconds(200); ///< The same while nothing is held, as after a start.
    std::size_t eagerRounds = 20; ///< Comparisons after a new revision that follow at eagerInterval.
    std::size_t fanOut = 3; ///< Sources that each of them, and the first notice, goes to.
    std::size_t maxDeltas = 512; ///< Revisions that are kept, and sent, as deltas.
    std::size_t maxSnapshotBytes = std::size_t{32} << 20; ///< Larger snapshots are refused.
};

/// The configuration on one VM, which follows what the control accepts. Its revision only goes up.
struct configuration_follower {
    follower_options options; ///< As constructed.
    std::shared_ptr<const configuration> current = std::make_shared<const configuration>(); ///< In force; never null.
    history_digest digest{}; ///< Of current.
    std::deque<configuration_delta> recentDeltas; ///< The latest revisions, the last one current; may be empty.
    std::vector<vm_id> peers; ///< Live VMs besides this one, any role.
    revision highestAccepted; ///< Highest revision that is known to be accepted.
    vm_id pullingFrom; ///< Source asked last; 0 for none.
    instant pullDeadline; ///< When another one is asked.
    instant offerDue; ///< When to compare again.
    std::size_t eagerRoundsLeft = 0; ///< Comparisons that still follow at eagerInterval.
    std::size_t nextPeer = 0; ///< Source to tell next, so that each gets its turn.
    snapshot_part incomingSnapshot; ///< Snapshot being received; offset counts the bytes that are there.
    std::uint64_t divergenceCount = 0; ///< Sources seen with the same revision and another history.
};

/// Time has passed.
struct follower_tick {
};

/// The live VMs have changed.
struct peers_changed {
    std::vector<vm_id> peers; ///< Besides this one.
};

/// The leader's beacon, or the control on this VM, names an accepted revision.
struct revision_announced {
    revision acceptedRevision; ///< Accepted.
};

/// The control on this VM has applied the configuration.
struct revision_applied {
    std::shared_ptr<const configuration> value; ///< The whole.
    history_digest digest{}; ///< Of it.
    std::vector<configuration_delta> deltas; ///< The one that led here; empty after a snapshot.
};

/// A VM says what it holds.
struct offer_received {
    vm_id from; ///< Sender.
    held_revision held; ///< What it holds.
};

/// A VM asks for what it lacks.
struct pull_received {
    vm_id from; ///< Sender.
    held_revision held; ///< What it holds.
    snapshot_position snapshot; ///< Where to go on when it is sent a snapshot.
};

/// Deltas whose digests the host has checked.
struct deltas_received {
    vm_id from; ///< Sender.
    std::vector<configuration_delta> deltas; ///< Oldest first.
};

/// Part of a snapshot.
struct snapshot_part_received {
    vm_id from; ///< Sender.
    snapshot_part part; ///< The part.
};

/// A whole snapshot, whose seal the host has checked and which it has decoded.
struct snapshot_verified {
    std::shared_ptr<const configuration> value; ///< Null when it was refused.
    history_digest digest{}; ///< Of it.
};

/// Everything that can happen to a follower.
using follower_event = std::variant<follower_tick, peers_changed, revision_announced, revision_applied, offer_received,
                                    pull_received, deltas_received, snapshot_part_received, snapshot_verified>;

/// Tell a VM what this one holds.
struct send_offer {
    vm_id to; ///< Receiver.
    held_revision held; ///< What this VM holds.
};

/// Ask a VM for what this one lacks.
struct send_pull {
    vm_id to; ///< Receiver.
    held_revision held; ///< What this VM holds.
    snapshot_position snapshot; ///< Where to go on with a snapshot.
};

/// Send deltas.
struct send_deltas {
    vm_id to; ///< Receiver.
    std::vector<configuration_delta> deltas; ///< Oldest first.
};

/// Send a part of the present configuration.
struct send_snapshot_part {
    vm_id to; ///< Receiver.
    std::uint64_t offset = 0; ///< Where to start.
};

/// Check the seal of a whole snapshot and decode it; report it by snapshot_verified.
struct verify_snapshot {
    snapshot_part whole; ///< Its bytes are the whole.
};

/// A revision is in force on this VM.
struct revision_in_force {
    std::shared_ptr<const configuration> value; ///< The configuration.
};

/// Everything a follower wants done.
using follower_effect =
    std::variant<send_offer, send_pull, send_deltas, send_snapshot_part, verify_snapshot, revision_in_force>;

/// Handles one event; effects are appended to out.
void step(configuration_follower &self, const follower_event &event, instant now, std::uint64_t random,
          std::vector<follower_effect> &out);

/// When a follower_tick is due next.
instant nextDeadline(const configuration_follower &self);

} // namespace guavafront
