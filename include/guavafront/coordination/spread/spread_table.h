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

/// Rates, limits and periods of the replication of entries between VMs.
struct spread_options {
    double bytesPerSecond = 2'500; ///< Average rate of sent bytes; the rest of a VM's 4 KB/s is for the membership.
    double burstBytes = 16'384; ///< Largest number of bytes sent at once after a period without changes.
    double catchUpBytesPerSecond = 65'536; ///< Additional rate for VMs that lack most entries.
    std::size_t messageBytes = 1'300; ///< A delta takes no further entry beyond this size; fits into one TCP segment.
    std::size_t messageOverheadBytes = 80; ///< Counted for each message: envelope, frame, TCP and IP headers.
    std::size_t payloadLimitBytes = 4'096; ///< Largest payload of an entry.
    std::size_t nameLimitBytes = 128; ///< Longest name of an entry.
    std::size_t entryLimit = 100'000; ///< Largest number of entries; further ones of other VMs aren't stored.
    std::size_t buckets = 256; ///< Number of buckets in the digest of the table.
    std::size_t hashesPerSync = 512; ///< Approximate number of entries in one comparison of tables.
    duration syncPeriod = std::chrono::seconds(20); ///< Mean time between two comparisons of tables with a peer.
    duration deadOwnerRetention = std::chrono::seconds(10); ///< Time for which entries are kept after their owner died.
    duration tombstoneRetention = std::chrono::minutes(10); ///< Time for which a withdrawn entry is kept, as a
                                                            ///< tombstone.
};

/// Value of an entry in this VM's table.
struct stored_entry {
    std::uint64_t version = 0; ///< Version that the owner gave to this value.
    bool removed = false; ///< Whether the owner withdrew the entry, which stays as a tombstone without payload.
    std::vector<std::byte> payload; ///< The value, as the subsystem encoded it.
    entry_hash hash = 0; ///< Hash of the entry in the digest of the table.
    instant storedAt; ///< Time at which this version was stored here.
};

/// Entries that wait to be sent to one VM.
struct peer_queue {
    std::set<spread_key> keys; ///< Keys of the entries whose present values are to be sent; most urgent topic first.
    bool catchUp = false; ///< Whether the bytes are taken from catchUpAllowance instead of allowance.
};

/// State of an eventually consistent map that all VMs replicate by gossip. Each VM writes its own entries; the highest
/// version wins; the entries of a VM are removed some time after it died. Changes are passed on to the VMs that the
/// membership probes. Tables are compared periodically to repair lost messages (anti-entropy).
struct spread_table {
    spread_options options; ///< Rates, limits and periods.
    vm_id self; ///< Id of this VM.
    std::uint64_t lastVersion = 0; ///< Version of this VM's last write; at least that of any own entry received back.
    std::map<spread_key, stored_entry> entries; ///< All entries, tombstones included.
    digest_index<spread_key> index; ///< Digest of the entries.
    std::set<vm_id> liveOwners; ///< VMs that the membership knows as live, this VM included.
    std::map<vm_id, instant> goneOwners; ///< Owners that aren't live, each with the time since when it isn't.
    std::vector<vm_id> peers; ///< VMs to which changes are passed on.
    std::map<vm_id, peer_queue> queues; ///< Queues by receiver: peers, and VMs that compare tables with this one.
    std::size_t nextPeer = 0; ///< Position of the queue to send from next, for round robin.
    double allowance = 0; ///< Bytes that may be sent now; negative after larger messages.
    double catchUpAllowance = 0; ///< Bytes that may be sent now to VMs that lack most entries.
    std::optional<instant> lastTick; ///< Time at which the allowances were last refilled.
    instant nextSync; ///< Time of the next comparison of tables.
    instant nextOwnerExpiry; ///< Time of the next removal of the entries of dead owners.
    instant nextTombstoneExpiry; ///< Time of the next removal of old tombstones.
};

/// Event: time has passed. To be sent about ten times a second.
struct spread_tick {
};

/// Event: a message arrived over an authenticated link.
struct spread_received {
    vm_id from; ///< Sender, as authenticated by the link.
    spread_message message; ///< The decoded message.
};

/// Event: this VM writes an entry of its own.
struct spread_publish {
    spread_topic topic; ///< Subsystem of the entry.
    std::string name; ///< Name, unique for the topic on this VM.
    std::vector<std::byte> payload; ///< The value, as the subsystem encoded it.
};

/// Event: this VM withdraws an entry of its own.
struct spread_withdraw {
    spread_topic topic; ///< Topic under which the entry was published.
    std::string name; ///< Name under which the entry was published.
};

/// Event: the set of VMs that the membership probes changed. Changes of entries are passed on to these VMs.
struct spread_peers_changed {
    std::vector<vm_id> peers; ///< The complete new set.
};

/// Event: the status of a VM in the membership changed.
struct spread_owner_changed {
    vm_id owner; ///< The VM, as the owner of entries.
    bool live = false; ///< Whether the VM is alive or suspect now.
};

/// Any event that step() handles.
using spread_event = std::variant<spread_tick, spread_received, spread_publish, spread_withdraw, spread_peers_changed,
                                  spread_owner_changed>;

/// Effect: the caller is to send a message.
struct send_spread {
    vm_id to; ///< VM to send it to.
    spread_message message; ///< The message to send.
};

/// Effect: another VM's entry changed in this VM's table. The entry is marked as removed when its owner withdrew it or
/// is dead.
struct entry_changed {
    spread_entry entry; ///< The entry with its present value.
};

/// Any effect of a step, for the caller to carry out or pass on.
using spread_effect = std::variant<send_spread, entry_changed>;

/// Empty table of a VM.
spread_table makeSpreadTable(vm_id self, const spread_options &options);

/// Handles one event and appends its effects to the list. Throws coordination_error (MessageTooLarge) when a published
/// payload or name exceeds its limit.
void step(spread_table &state, const spread_event &event, instant now, random_source &random,
          std::vector<spread_effect> &effects);

/// Value of an entry; null when the entry is unknown or withdrawn.
const stored_entry *findEntry(const spread_table &state, const spread_key &key);

/// Approximate number of bytes that an entry takes in an encoded delta.
std::size_t encodedBytes(const spread_entry &entry);

} // namespace guavafront
