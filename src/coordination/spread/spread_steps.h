#pragma once

#include <guavafront/coordination/spread/spread_table.h>

#include <span>

namespace guavafront
{

/// Stores a version of an entry and keeps the digest.
void storeEntry(spread_table &state, const spread_entry &entry, instant now);

/// Removes entries as if they had never been.
void eraseEntries(spread_table &state, std::span<const spread_key> keys);

/// Has an entry sent to all peers but one.
void queueForPeers(spread_table &state, const spread_key &key, vm_id except);

/// Writes an entry of this VM's own under a new version.
void writeOwnEntry(spread_table &state, spread_key key, bool removed, std::vector<std::byte> payload, instant now);

/// Takes entries from another VM.
void receiveDelta(spread_table &state, vm_id from, const spread_delta &message, instant now,
                  std::vector<spread_effect> &effects);

/// Sends what waits, as far as the allowances go.
void sendQueued(spread_table &state, std::vector<spread_effect> &effects);

/// Sends a digest to a VM.
void sendDigest(spread_table &state, vm_id to, std::vector<spread_effect> &effects);

/// Handles the three messages of a comparison.
void receiveDigest(spread_table &state, vm_id from, const spread_digest &message, random_source &random,
                   std::vector<spread_effect> &effects);
void receiveSummary(spread_table &state, vm_id from, const spread_summary &message,
                    std::vector<spread_effect> &effects); ///< See receiveDigest().
void receiveEntryRequest(spread_table &state, vm_id from,
                         const spread_entry_request &message); ///< See receiveDigest().

} // namespace guavafront
