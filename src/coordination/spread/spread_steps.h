#pragma once

#include <guavafront/coordination/spread/spread_table.h>

#include <span>

namespace guavafront
{

/// Stores a version of an entry and updates the digest.
void storeEntry(spread_table &state, const spread_entry &entry, instant now);

/// Removes entries from table and digest without leaving tombstones.
void eraseEntries(spread_table &state, std::span<const spread_key> keys);

/// Queues an entry for all peers except its owner and one more VM (0 for none).
void queueForPeers(spread_table &state, const spread_key &key, vm_id except);

/// Writes an entry of this VM's own under a new version and queues it for all peers.
void writeOwnEntry(spread_table &state, spread_key key, bool removed, std::vector<std::byte> payload, instant now);

/// Handles entries from another VM: stores those that are new here and queues them for the other peers.
void receiveDelta(spread_table &state, vm_id from, const spread_delta &message, instant now,
                  std::vector<spread_effect> &effects);

/// Sends queued entries, as far as the allowances go.
void sendQueued(spread_table &state, std::vector<spread_effect> &effects);

/// Asks a VM to compare tables.
void sendDigest(spread_table &state, vm_id to, std::vector<spread_effect> &effects);

/// Handles the first message of a comparison of tables: answers with a summary of buckets that differ, or queues the
/// whole table for a VM that lacks most entries.
void receiveDigest(spread_table &state, vm_id from, const spread_digest &message, random_source &random,
                   std::vector<spread_effect> &effects);

/// Handles the second message of a comparison: queues the entries that the sender lacks and requests those that this VM
/// lacks.
void receiveSummary(spread_table &state, vm_id from, const spread_summary &message,
                    std::vector<spread_effect> &effects);

/// Handles the third message of a comparison: queues the requested entries.
void receiveEntryRequest(spread_table &state, vm_id from, const spread_entry_request &message);

} // namespace guavafront
