#include <guavafront/coordination/configuration/configuration_follower.h>
#include <guavafront/coordination/core/coordination_error.h>

#include <algorithm>

namespace guavafront
{

namespace
{

struct follower_step {
    configuration_follower &self;
    instant now;
    std::uint64_t random;
    std::vector<follower_effect> &out;
};

held_revision heldBy(const configuration_follower &self)
{
    return {self.current->current, self.digest};
}

/// Tells the sources whose turn it is what is held now.
void offerTo(follower_step &at, std::size_t count)
{
    configuration_follower &self = at.self;
    for (std::size_t i = 0; i < std::min(count, self.sources.size()); ++i) {
        at.out.emplace_back(send_offer{self.sources[self.nextSource++ % self.sources.size()], heldBy(self)});
    }
}

void pullFrom(follower_step &at, vm_id source)
{
    configuration_follower &self = at.self;
    const bool sameSource = self.pullingFrom == source;
    if (!sameSource) {
        self.incoming = {};
    }
    self.pullingFrom = source;
    self.pullDeadline = at.now + self.options.pullTimeout;
    at.out.emplace_back(send_pull{source, heldBy(self), {self.incoming.held.at, self.incoming.offset}});
}

/// Puts a revision in force; internal contract: it is higher than the present one.
void enforce(follower_step &at, std::shared_ptr<const configuration> value, const history_digest &digest)
{
    configuration_follower &self = at.self;
    self.current = std::move(value);
    self.digest = digest;
    self.wanted = std::max(self.wanted, self.current->current);
    if (self.current->current >= self.wanted) {
        self.pullingFrom = {};
        self.incoming = {};
    }
    self.eagerLeft = self.options.eagerRounds;
    self.offerDue = at.now + self.options.eagerInterval;
    at.out.emplace_back(revision_in_force{self.current});
    offerTo(at, self.options.fanOut);
}

void remember(configuration_follower &self, const configuration_delta &delta)
{
    self.recent.push_back(delta);
    if (self.recent.size() > self.options.maxDeltas) {
        self.recent.pop_front();
    }
}

/// Whether the deltas lead, link by link, from what is held.
bool isContinuation(const configuration_follower &self, std::span<const configuration_delta> deltas)
{
    held_revision held = heldBy(self);
    for (const configuration_delta &delta : deltas) {
        if (delta.at.value != held.at.value + 1 || delta.previous != held.digest) {
            return false;
        }
        held = {delta.at, delta.digest};
    }
    return true;
}

void handle(follower_step &at, const follower_tick & /*event*/)
{
    configuration_follower &self = at.self;
    const bool behind = self.current->current < self.wanted;
    if (behind && at.now >= self.pullDeadline && !self.sources.empty()) {
        pullFrom(at, self.sources[at.random % self.sources.size()]);
    }
    if (at.now >= self.offerDue) {
        const bool empty = self.current->current.value == 0;
        const bool eager = self.eagerLeft > 0;
        self.eagerLeft -= eager ? 1 : 0;
        const duration usual = eager ? self.options.eagerInterval : self.options.offerInterval;
        self.offerDue = at.now + (empty ? self.options.emptyInterval : usual);
        offerTo(at, eager || empty ? self.options.fanOut : 1);
    }
}

void handle(follower_step &at, const sources_changed &event)
{
    const bool first = at.self.sources.empty();
    at.self.sources = event.sources;
    at.self.nextSource = static_cast<std::size_t>(at.random % std::max<std::size_t>(1, event.sources.size()));
    if (first) {
        offerTo(at, at.self.options.fanOut);
    }
}

void handle(follower_step &at, const revision_announced &event)
{
    at.self.wanted = std::max(at.self.wanted, event.at);
    handle(at, follower_tick{});
}

void handle(follower_step &at, const revision_applied &event)
{
    configuration_follower &self = at.self;
    if (event.value->current <= self.current->current) {
        return;
    }
    if (event.deltas.empty() || !isContinuation(self, event.deltas)) {
        self.recent.clear();
    }
    for (const configuration_delta &delta : event.deltas) {
        remember(self, delta);
    }
    enforce(at, event.value, event.digest);
}

void handle(follower_step &at, const offer_received &event)
{
    configuration_follower &self = at.self;
    const held_revision held = heldBy(self);
    if (event.held.at > held.at) {
        self.wanted = std::max(self.wanted, event.held.at);
        if (self.pullingFrom.value == 0 || at.now >= self.pullDeadline) {
            pullFrom(at, event.from);
        }
    } else if (event.held.at < held.at) {
        at.out.emplace_back(send_offer{event.from, held});
    } else if (event.held.digest != held.digest) {
        ++self.diverged;
    }
}

void handle(follower_step &at, const pull_received &event)
{
    const configuration_follower &self = at.self;
    if (event.held.at >= self.current->current) {
        return;
    }
    const auto first = std::ranges::find_if(self.recent, [&event](const configuration_delta &delta) {
        return delta.at.value == event.held.at.value + 1 && delta.previous == event.held.digest;
    });
    const bool holdsNothing = event.held.at.value == 0; // The whole is less than all that led to it.
    if (first != self.recent.end() && !holdsNothing) {
        at.out.emplace_back(send_deltas{event.from, {first, self.recent.end()}});
        return;
    }
    const bool sameSnapshot = event.snapshot.at == self.current->current;
    at.out.emplace_back(send_snapshot_part{event.from, sameSnapshot ? event.snapshot.offset : 0});
}

void handle(follower_step &at, const deltas_received &event)
{
    configuration_follower &self = at.self;
    // Deltas that are held already are left out; the digest links the rest to what is held.
    const auto isNew = [&self](const configuration_delta &delta) {
        return delta.at > self.current->current;
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
        return; // Not what the control applied; a snapshot will follow.
    }
    for (const configuration_delta &delta : fresh) {
        remember(self, delta);
    }
    enforce(at, std::make_shared<const configuration>(std::move(next)), fresh.back().digest);
    if (self.current->current < self.wanted && self.pullingFrom == event.from) {
        pullFrom(at, event.from);
    }
}

void handle(follower_step &at, const part_received &event)
{
    configuration_follower &self = at.self;
    const snapshot_part &part = event.part;
    if (event.from != self.pullingFrom || part.held.at <= self.current->current
        || part.totalBytes > self.options.maxSnapshotBytes) {
        return;
    }
    if (part.held != self.incoming.held || part.seal != self.incoming.seal) {
        self.incoming = {part.held, part.seal, part.totalBytes, 0, {}};
    }
    std::vector<std::byte> &bytes = self.incoming.bytes;
    if (part.offset == bytes.size() && part.bytes.size() <= self.incoming.totalBytes - bytes.size()) {
        bytes.insert(bytes.end(), part.bytes.begin(), part.bytes.end());
        self.incoming.offset = bytes.size();
    }
    if (bytes.size() < self.incoming.totalBytes) {
        pullFrom(at, event.from);
        return;
    }
    at.out.emplace_back(open_snapshot{std::move(self.incoming)});
    self.incoming = {};
}

void handle(follower_step &at, const snapshot_opened &event)
{
    configuration_follower &self = at.self;
    if (event.value == nullptr || event.value->current <= self.current->current) {
        return;
    }
    self.recent.clear();
    enforce(at, event.value, event.digest);
}

} // namespace

void step(configuration_follower &self, const follower_event &event, instant now, std::uint64_t random,
          std::vector<follower_effect> &out)
{
    follower_step at{self, now, random, out};
    std::visit([&at](const auto &value) { handle(at, value); }, event);
}

instant nextDeadline(const configuration_follower &self)
{
    const bool behind = self.current->current < self.wanted && !self.sources.empty();
    return behind ? std::min(self.offerDue, self.pullDeadline) : self.offerDue;
}

} // namespace guavafront
