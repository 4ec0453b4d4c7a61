#include <guavafront/coordination/configuration/configuration_follower.h>
#include <guavafront/coordination/core/coordination_error.h>

#include <algorithm>

namespace guavafront
{

namespace
{

/// Arguments of one call of step().
struct step_context {
    configuration_follower &self;
    instant now;
    std::uint64_t random;
    std::vector<follower_effect> &out;
};

/// The revision that this VM holds.
held_revision heldBy(const configuration_follower &self)
{
    return {self.current->atRevision, self.digest};
}

/// Sends an offer of the held revision to the next count peers, in round-robin order.
void offerToPeers(step_context &context, std::size_t count)
{
    configuration_follower &self = context.self;
    for (std::size_t i = 0; i < std::min(count, self.peers.size()); ++i) {
        context.out.emplace_back(send_offer{self.peers[self.nextPeer++ % self.peers.size()], heldBy(self)});
    }
}

/// Asks the peer for later revisions. A snapshot received in part is continued if it came from the same peer, and
/// dropped otherwise.
void pullFrom(step_context &context, vm_id peer)
{
    configuration_follower &self = context.self;
    const bool samePeer = self.pullingFrom == peer;
    if (!samePeer) {
        self.incomingSnapshot = {};
    }
    self.pullingFrom = peer;
    self.pullIsGuess = false;
    self.pullDeadline = context.now + self.options.pullTimeout;
    context.out.emplace_back(
        send_pull{peer, heldBy(self), {self.incomingSnapshot.held.atRevision, self.incomingSnapshot.offset}});
}

/// Puts a configuration in force and offers it to peers. Its revision must be higher than the present one.
void putInForce(step_context &context, std::shared_ptr<const configuration> value, const history_digest &digest)
{
    configuration_follower &self = context.self;
    self.current = std::move(value);
    self.digest = digest;
    self.highestAccepted = std::max(self.highestAccepted, self.current->atRevision);
    if (self.current->atRevision >= self.highestAccepted) {
        self.pullingFrom = {};
        self.incomingSnapshot = {};
    }
    self.eagerRoundsLeft = self.options.eagerRounds;
    self.offerDue = context.now + self.options.eagerInterval;
    context.out.emplace_back(revision_in_force{self.current});
    offerToPeers(context, self.options.fanOut);
}

/// Appends a delta to recentDeltas and drops the oldest one beyond the limit.
void keepDelta(configuration_follower &self, const configuration_delta &delta)
{
    self.recentDeltas.push_back(delta);
    if (self.recentDeltas.size() > self.options.maxDeltas) {
        self.recentDeltas.pop_front();
    }
}

/// Whether the deltas continue the held revision without a gap: each one must have the next revision number, and its
/// previousDigest must be the digest of the revision before.
bool isContinuation(const configuration_follower &self, std::span<const configuration_delta> deltas)
{
    held_revision held = heldBy(self);
    for (const configuration_delta &delta : deltas) {
        if (delta.atRevision.value != held.atRevision.value + 1 || delta.previousDigest != held.digest) {
            return false;
        }
        held = {delta.atRevision, delta.digest};
    }
    return true;
}

void handle(step_context &context, const follower_tick & /*event*/)
{
    configuration_follower &self = context.self;
    const bool behind = self.current->atRevision < self.highestAccepted;
    if (behind && context.now >= self.pullDeadline && !self.peers.empty()) {
        pullFrom(context, self.peers[context.random % self.peers.size()]);
        self.pullIsGuess = true;
    }
    if (context.now >= self.offerDue) {
        const bool empty = self.current->atRevision.value == 0;
        const bool eager = self.eagerRoundsLeft > 0;
        self.eagerRoundsLeft -= eager ? 1 : 0;
        const duration usual = eager ? self.options.eagerInterval : self.options.offerInterval;
        self.offerDue = context.now + (empty ? self.options.emptyInterval : usual);
        offerToPeers(context, eager || empty ? self.options.fanOut : 1);
    }
}

void handle(step_context &context, const peers_changed &event)
{
    const bool first = context.self.peers.empty();
    context.self.peers = event.peers;
    context.self.nextPeer = static_cast<std::size_t>(context.random % std::max<std::size_t>(1, event.peers.size()));
    if (first) {
        offerToPeers(context, context.self.options.fanOut);
    }
}

void handle(step_context &context, const revision_announced &event)
{
    context.self.highestAccepted = std::max(context.self.highestAccepted, event.acceptedRevision);
    handle(context, follower_tick{});
}

void handle(step_context &context, const revision_applied &event)
{
    configuration_follower &self = context.self;
    if (event.value->atRevision <= self.current->atRevision) {
        return;
    }
    if (event.deltas.empty() || !isContinuation(self, event.deltas)) {
        self.recentDeltas.clear();
    }
    for (const configuration_delta &delta : event.deltas) {
        keepDelta(self, delta);
    }
    putInForce(context, event.value, event.digest);
}

void handle(step_context &context, const offer_received &event)
{
    configuration_follower &self = context.self;
    const held_revision held = heldBy(self);
    if (event.held.atRevision > held.atRevision) {
        self.highestAccepted = std::max(self.highestAccepted, event.held.atRevision);
        if (self.pullingFrom.value == 0 || self.pullIsGuess || context.now >= self.pullDeadline) {
            pullFrom(context, event.from);
        }
    } else if (event.held.atRevision < held.atRevision) {
        context.out.emplace_back(send_offer{event.from, held});
    } else if (event.held.digest != held.digest) {
        ++self.divergenceCount;
    }
}

void handle(step_context &context, const pull_received &event)
{
    const configuration_follower &self = context.self;
    if (event.held.atRevision >= self.current->atRevision) {
        return;
    }
    const auto first = std::ranges::find_if(self.recentDeltas, [&event](const configuration_delta &delta) {
        return delta.atRevision.value == event.held.atRevision.value + 1 && delta.previousDigest == event.held.digest;
    });
    const bool holdsNothing = event.held.atRevision.value == 0; // A snapshot is smaller than the whole history.
    if (first != self.recentDeltas.end() && !holdsNothing) {
        context.out.emplace_back(send_deltas{event.from, {first, self.recentDeltas.end()}});
        return;
    }
    const bool sameSnapshot = event.snapshot.atRevision == self.current->atRevision;
    context.out.emplace_back(send_snapshot_part{event.from, sameSnapshot ? event.snapshot.offset : 0});
}

void handle(step_context &context, const deltas_received &event)
{
    configuration_follower &self = context.self;
    // Revisions that are held already are skipped; the digests prove that the rest continues the held revision.
    const auto isNew = [&self](const configuration_delta &delta) {
        return delta.atRevision > self.current->atRevision;
    };
    const auto first = std::ranges::find_if(event.deltas, isNew);
    const std::span<const configuration_delta> fresh(first, event.deltas.end());
    if (fresh.empty() || !isContinuation(self, fresh)) {
        return;
    }
    configuration next = *self.current;
    try {
        for (const configuration_delta &delta : fresh) {
            next = applyChanges(next, delta.changes);
        }
    } catch (const coordination_error &) {
        return; // The control VMs can't have accepted these changes; the next pull may get a snapshot instead.
    }
    for (const configuration_delta &delta : fresh) {
        keepDelta(self, delta);
    }
    putInForce(context, std::make_shared<const configuration>(std::move(next)), fresh.back().digest);
    if (self.current->atRevision < self.highestAccepted && self.pullingFrom == event.from) {
        pullFrom(context, event.from);
    }
}

void handle(step_context &context, const snapshot_part_received &event)
{
    configuration_follower &self = context.self;
    const snapshot_part &part = event.part;
    if (event.from != self.pullingFrom || part.held.atRevision <= self.current->atRevision
        || part.totalBytes > self.options.maxSnapshotBytes) {
        return;
    }
    if (part.held != self.incomingSnapshot.held || part.seal != self.incomingSnapshot.seal) {
        self.incomingSnapshot = {part.held, part.seal, part.totalBytes, 0, {}};
    }
    std::vector<std::byte> &bytes = self.incomingSnapshot.bytes;
    if (part.offset == bytes.size() && part.bytes.size() <= self.incomingSnapshot.totalBytes - bytes.size()) {
        bytes.insert(bytes.end(), part.bytes.begin(), part.bytes.end());
        self.incomingSnapshot.offset = bytes.size();
    }
    if (bytes.size() < self.incomingSnapshot.totalBytes) {
        pullFrom(context, event.from);
        return;
    }
    context.out.emplace_back(verify_snapshot{std::move(self.incomingSnapshot)});
    self.incomingSnapshot = {};
}

void handle(step_context &context, const snapshot_verified &event)
{
    configuration_follower &self = context.self;
    if (event.value == nullptr || event.value->atRevision <= self.current->atRevision) {
        return;
    }
    self.recentDeltas.clear();
    putInForce(context, event.value, event.digest);
}

} // namespace

void step(configuration_follower &self, const follower_event &event, instant now, std::uint64_t random,
          std::vector<follower_effect> &out)
{
    step_context context{self, now, random, out};
    std::visit([&context](const auto &value) { handle(context, value); }, event);
}

instant nextDeadline(const configuration_follower &self)
{
    const bool behind = self.current->atRevision < self.highestAccepted && !self.peers.empty();
    return behind ? std::min(self.offerDue, self.pullDeadline) : self.offerDue;
}

} // namespace guavafront
