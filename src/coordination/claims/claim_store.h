#pragma once

#include <guavafront/coordination/claims/claims_home.h>

namespace guavafront
{

/// Returns the state of the shard of a key on this VM. Creates it if there is none.
home_shard &shardFor(claims_home &state, const claim_key &key);

/// Returns the record of a key; null when there is none or its retention is over.
claim_record *findRecord(home_shard &shard, const claim_key &key, instant now);

/// Returns the record of a key and creates it if there is none; null when the limits leave no room for it.
claim_record *makeRecord(claims_home &state, const claim_key &key, instant expires, instant now);

/// Removes the record of a key, if there is one.
void eraseRecord(claims_home &state, home_shard &shard, const claim_key &key);

/// Stores an outcome in a record, with its answer as far as the limits allow. A record that has an outcome keeps it.
void storeOutcome(claims_home &state, const claim_key &key, claim_record &record, const claim_outcome &outcome);

/// Removes records whose retention is over.
void expireRecords(claims_home &state, instant now);

/// Merges the record of another home into the one stored here. Limits on the number of claims do not apply.
void mergeRecord(claims_home &state, const shard_record &told, instant now);

/// Converts holders for sending to another VM.
std::vector<holder_report> reportHolders(std::span<const claim_holder> holders, instant now);

} // namespace guavafront
