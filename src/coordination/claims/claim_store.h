#pragma once

#include <guavafront/coordination/claims/claims_home.h>

namespace guavafront
{

/// Shard of a key on this VM; made when it is missing.
home_shard &shardFor(claims_home &state, const claim_key &key);

/// Record of a key; null when there is none or its retention is over.
claim_record *findRecord(home_shard &shard, const claim_key &key, instant now);

/// Record of a key, made when it is missing; null when the limits leave no room.
claim_record *makeRecord(claims_home &state, const claim_key &key, instant expires, instant now);

/// Removes the record of a key.
void eraseRecord(claims_home &state, home_shard &shard, const claim_key &key);

/// Keeps an outcome, and its answer as far as the limits allow. The first outcome of a record stays.
void storeOutcome(claims_home &state, const claim_key &key, claim_record &record, const claim_outcome &outcome);

/// Removes records whose retention is over.
void expireRecords(claims_home &state, instant now);

/// Takes in what another home knows of a key.
void mergeRecord(claims_home &state, const shard_record &told, instant now);

/// Holders for another VM.
std::vector<holder_report> reportHolders(std::span<const claim_holder> holders, instant now);

} // namespace guavafront
