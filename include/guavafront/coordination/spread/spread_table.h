#pragma once

#include <guavafront/coordination/core/random.h>
#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/spread/spread_message.h>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace guavafront
{

/// Sizes and times of the spread.
struct spread_options {
    double bytesPerSecond = 2'500; ///< Sent in the long run; the rest of a VM's 4 KB/s is the membership's.
    double burstBytes = 16'384; ///< Sent at once after a quiet time.
    double catchUpBytesPerSecond = 65'536; ///< Sent to VMs that hold next to nothing, on top.
    std::size_t messageBytes = 1'300; ///< A delta is closed at this size; one TCP segment.
    std::size_t messageOverheadBytes = 80; ///< Charged for each message: envelope, frame, TCP and IP headers.
    std::size_t payloadLimitBytes = 4'096; ///< Of one entry.
    std::size_t nameLimitBytes = 128; ///< Of one entry's name.
    std::size_t entryLimit = 100'000; ///< Entries held at most.
    std::size_t buckets = 256; ///< Of the table's digest.
    std::size_t hashesPerSync = 512; ///< Entries compared at once, about.
    duration syncPeriod = std::chrono::seconds(20); ///< Between two comparisons of tables.
    duration deadOwnerRetention = std::chrono::seconds(10); ///< A dead owner's entries last this long.
    duration tombstoneRetention = std::chrono::minutes(10); ///< A withdrawal is remembered this long.
};

/// Value of one entry here.
struct stored_entry {
    std::uint64_t version = 0; ///< The owner's.
    bool removed = false; ///< Withdrawn.
    std::vector<std::byte> payload; ///< The subsystem's encoding.
    entry_hash hash = 0; ///< Its entry in the digest.
    instant storedAt; ///< When this version came.
};

/// What waits to be sent to one VM.
struct peer_queue {
    std::set<spread_key> keys; ///< Entries whose present value is to be sent; most urgent topic first.
    bool catchUp = false; ///< Charged to the allowance for VMs that hold next to nothing.
};

/// A map that all VMs hold: each writes its own entries, the last version wins, an owner's entries end with it. Changes
/// are passed on to the VMs that the membership probes; tables are compared at times to repair what was lost.
struct spread_table {
    spread_options options; ///< As constructed.
    vm_id self; ///< This VM.
    std::uint64_t lastVersion = 0; ///< Of this VM's last write.
    std::map<spread_key, stored_entry> entries; ///< All entries, withdrawn ones included.
    digest_index<spread_key> index; ///< Of entries.
    std::set<vm_id> liveOwners; ///< According to the membership; this VM included.
    std::map<vm_id, instant> goneOwners; ///< Owners of entries here that aren't live, with when that began.
    std::vector<vm_id> peers; ///< VMs that changes are passed on to.
    std::map<vm_id, peer_queue> queues; ///< By receiver; peers and VMs that compare tables.
    std::size_t nextPeer = 0; ///< Queue to begin with, so that each gets its turn.
    double allowance = 0; ///< Bytes that may be sent now.
    double catchUpAllowance = 0; ///< Bytes that may be sent now to VMs that hold next to nothing.
    std::optional<instant> lastTick; ///< When the allowances last grew.
    instant nextSync; ///< When to compare tables.
    instant nextOwnerExpiry; ///< When to remove the entries of gone owners.
    instant nextTombstoneExpiry; ///< When to remove old withdrawals.
};

/// Time passes; to be called about ten times a second.
struct spread_tick {
};

/// A message came over a proved link.
struct spread_received {
    vm_id from; ///< Proved by the link.
    spread_message message; ///< Decoded.
};

/// This VM writes an entry of its own.
struct spread_publish {
    spread_topic topic; ///< Subsystem.
    std::string name; ///< Unique for the topic on this VM.
    std::vector<std::byte> payload; ///< The value.
};

/// This VM withdraws an entry of its own.
struct spread_withdraw {
    spread_topic topic; ///< As published.
    std::string name; ///< As published.
};

/// The VMs that changes are passed on to; those the membership probes.
struct spread_peers_changed {
    std::vector<vm_id> peers; ///< All of them.
};

/// The membership holds a VM live, or not any more.
struct spread_owner_changed {
    vm_id owner; ///< Which one.
    bool live = false; ///< Alive or suspect.
};

/// Anything that the spread reacts to.
using spread_event = std::variant<spread_tick, spread_received, spread_publish, spread_withdraw, spread_peers_changed,
                                  spread_owner_changed>;

/// Send a message.
struct send_spread {
    vm_id to; ///< Receiver.
    spread_message message; ///< What to send.
};

/// Another VM's entry changed here; removed when it was withdrawn or its owner is gone.
struct entry_changed {
    spread_entry entry; ///< The present value.
};

/// Anything that the caller does or passes on.
using spread_effect = std::variant<send_spread, entry_changed>;

/// Empty map of a VM.
spread_table makeSpreadTable(vm_id self, const spread_options &options);

/// Reacts to one event; appends what is to be done. Publishing more than the limits allow throws coordination_error
/// (MessageTooLarge).
void step(spread_table &state, const spread_event &event, instant now, random_source &random,
          std::vector<spread_effect> &effects);

/// An entry's value; null when unknown or withdrawn.
const stored_entry *findEntry(const spread_table &state, const spread_key &key);

/// Bytes that an entry takes in a delta, about.
std::size_t encodedBytes(const spread_entry &entry);

} // namespace guavafront
