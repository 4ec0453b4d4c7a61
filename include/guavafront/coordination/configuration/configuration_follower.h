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

/// Keyed digest of all accepted changes up to a revision, computed from the previous revision's digest and this
/// revision's changes. Two VMs with equal digests hold the same history.
using history_digest = std::array<std::byte, 32>;

/// One accepted revision, as the changes that lead to it from the revision before.
struct configuration_delta {
    revision atRevision; ///< Revision that results from the changes.
    history_digest previousDigest{}; ///< History digest of the revision before.
    history_digest digest{}; ///< History digest of atRevision. The host verifies it before it passes the delta on.
    std::vector<change> changes; ///< Changes of this revision, applied in order.
    bool operator==(const configuration_delta &) const = default; ///< Memberwise equality.
};

/// Identifies the configuration that a VM holds.
struct held_revision {
    revision atRevision; ///< Revision in force on the VM; 0 when it holds none.
    history_digest digest{}; ///< History digest of atRevision.
    bool operator==(const held_revision &) const = default; ///< Memberwise equality.
};

/// Position from which a VM wants to continue the transfer of a snapshot.
struct snapshot_position {
    revision atRevision; ///< Revision of the snapshot; 0 asks for the sender's present revision from the start.
    std::uint64_t offset = 0; ///< Number of bytes of the snapshot that the requesting VM already has.
    bool operator==(const snapshot_position &) const = default; ///< Memberwise equality.
};

/// Contiguous part of an encoded configuration.
struct snapshot_part {
    held_revision held; ///< Revision and history digest of the whole snapshot.
    history_digest seal{}; ///< Message authentication code (keyed digest) of the whole snapshot.
    std::uint64_t totalBytes = 0; ///< Size of the whole snapshot in bytes.
    std::uint64_t offset = 0; ///< Position of the part in the snapshot, in bytes.
    std::vector<std::byte> bytes; ///< Content of the part.
    bool operator==(const snapshot_part &) const = default; ///< Memberwise equality.
};

/// Intervals and limits of a configuration_follower.
struct follower_options {
    duration offerInterval = std::chrono::seconds(2); ///< Time between offers to the next peer when nothing is new.
    duration pullTimeout = std::chrono::milliseconds(800); ///< Time after which another peer is asked.
    duration eagerInterval = std::chrono::milliseconds(200); ///< Time between offers after a new revision.
    duration emptyInterval = std::chrono::milliseconds(200); ///< Time between offers while no revision is held.
    std::size_t eagerRounds = 20; ///< Number of offers at eagerInterval after a new revision.
    std::size_t fanOut = 3; ///< Peers that get an offer at once while a revision is new or none is held.
    /// The same on a control VM, which gets the revision first and has a fast connection: most other VMs then get it
    /// from one, not over the slow connections of several others.
    std::size_t controlFanOut = 16;
    std::size_t maxDeltas = 512; ///< Maximum number of revisions that are kept, and sent, as deltas.
    std::size_t maxSnapshotBytes = std::size_t{32} << 20; ///< Snapshots larger than this are refused.
};

/// State of the protocol by which every VM obtains the configuration that the control VMs accept: VMs offer their
/// revision to each other, and a VM that is behind pulls deltas or a snapshot. The revision in force never decreases.
struct configuration_follower {
    follower_options options; ///< Intervals and limits; set before the first event.
    std::shared_ptr<const configuration> current = std::make_shared<const configuration>(); ///< In force; never null.
    history_digest digest{}; ///< History digest of current.
    std::deque<configuration_delta> recentDeltas; ///< Latest revisions, oldest first, ending at current; may be empty.
    std::vector<vm_id> peers; ///< Live VMs of any role, without this one.
    revision highestAccepted; ///< Highest revision that this VM knows to be accepted.
    vm_id pullingFrom; ///< Peer that the last pull went to; 0 when no pull is running.
    bool pullIsGuess = false; ///< pullingFrom was drawn at random and may be behind, too, in which case it is silent.
    instant pullDeadline; ///< When the running pull counts as failed and another peer is asked.
    instant offerDue; ///< When the next offer is sent.
    std::size_t eagerRoundsLeft = 0; ///< Remaining offer rounds at eagerInterval.
    std::size_t nextPeer = 0; ///< Round-robin position in peers for the next offer.
    snapshot_part incomingSnapshot; ///< Snapshot being received; its offset is the number of bytes received so far.
    std::uint64_t divergenceCount = 0; ///< Offers received with the same revision but another history digest.
};

/// Time has passed: sends what is due.
struct follower_tick {
};

/// The set of live VMs has changed.
struct peers_changed {
    std::vector<vm_id> peers; ///< Live VMs, without this one.
};

/// The leader's beacon, or the control role on this VM, announces an accepted revision.
struct revision_announced {
    revision acceptedRevision; ///< The accepted revision.
};

/// The control role on this VM has applied a new configuration.
struct revision_applied {
    std::shared_ptr<const configuration> value; ///< The new configuration; never null.
    history_digest digest{}; ///< History digest of value.
    std::vector<configuration_delta> deltas; ///< Deltas that led to value; empty when the control restored a snapshot.
};

/// A peer tells which revision it holds.
struct offer_received {
    vm_id from; ///< Sender.
    held_revision held; ///< Revision that the sender holds.
};

/// A peer asks for the revisions after the one that it holds.
struct pull_received {
    vm_id from; ///< Sender.
    held_revision held; ///< Revision that the sender holds.
    snapshot_position snapshot; ///< Where to continue if the answer is a snapshot.
};

/// A peer has sent deltas, whose digests the host has verified.
struct deltas_received {
    vm_id from; ///< Sender.
    std::vector<configuration_delta> deltas; ///< Deltas, oldest first.
};

/// A peer has sent a part of a snapshot.
struct snapshot_part_received {
    vm_id from; ///< Sender.
    snapshot_part part; ///< The part that was sent.
};

/// The host's answer to verify_snapshot.
struct snapshot_verified {
    std::shared_ptr<const configuration> value; ///< The decoded configuration; null when the snapshot was refused.
    history_digest digest{}; ///< History digest of value.
};

/// Inputs of a configuration_follower.
using follower_event = std::variant<follower_tick, peers_changed, revision_announced, revision_applied, offer_received,
                                    pull_received, deltas_received, snapshot_part_received, snapshot_verified>;

/// Tells a peer which revision this VM holds.
struct send_offer {
    vm_id to; ///< Receiver.
    held_revision held; ///< Revision that this VM holds.
};

/// Asks a peer for the revisions after the one that this VM holds.
struct send_pull {
    vm_id to; ///< Receiver.
    held_revision held; ///< Revision that this VM holds.
    snapshot_position snapshot; ///< Where to continue if the answer is a snapshot.
};

/// Sends deltas to a peer.
struct send_deltas {
    vm_id to; ///< Receiver.
    std::vector<configuration_delta> deltas; ///< Deltas, oldest first.
};

/// Sends a part of this VM's configuration to a peer.
struct send_snapshot_part {
    vm_id to; ///< Receiver.
    std::uint64_t offset = 0; ///< First byte to send.
};

/// Asks the host to check the seal of a complete snapshot and to decode it, and to answer by snapshot_verified.
struct verify_snapshot {
    snapshot_part whole; ///< The complete snapshot as one part.
};

/// Reports that a new configuration is in force on this VM.
struct revision_in_force {
    std::shared_ptr<const configuration> value; ///< The configuration in force.
};

/// Actions that a configuration_follower asks its host to perform.
using follower_effect =
    std::variant<send_offer, send_pull, send_deltas, send_snapshot_part, verify_snapshot, revision_in_force>;

/// Handles one event and appends the resulting effects to out. random is a fresh random number for each call.
void step(configuration_follower &self, const follower_event &event, instant now, std::uint64_t random,
          std::vector<follower_effect> &out);

/// Time at which the host must deliver the next follower_tick.
instant nextDeadline(const configuration_follower &self);

} // namespace guavafront
