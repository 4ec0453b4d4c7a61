#pragma once

#include <guavafront/coordination/claims/claim_message.h>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace guavafront
{

/// Limits of the claims that one home VM stores.
struct claims_home_options {
    /// How long a claim is kept. Afterwards a request with its key may run again.
    duration retention = std::chrono::hours(24);
    std::size_t maxRecords = 100'000; ///< Maximum number of claims. More are refused; none is removed before its time.
    std::size_t maxAccountPercent = 50; ///< Share of maxRecords that one client account may use, in percent.
    std::size_t maxAnswerBytes = 4'096; ///< For a larger answer only the fact that it was given is kept.
    /// Limit for all kept answers together; the oldest are dropped first.
    std::size_t maxTotalAnswerBytes = std::size_t{16} * 1024 * 1024;
    /// Interval at which a missing page is requested again.
    duration pullRetryInterval = std::chrono::milliseconds(200);
};

/// Record that a home VM stores for one key.
struct claim_record {
    /// Attempts that have this home's vote; more than one only after a change of view.
    std::vector<claim_holder> holders;
    std::optional<claim_outcome> outcome; ///< Outcome of the request that ran; set once its answer is known.
    instant expires; ///< End of the retention.
};

/// Progress of pulling the records of a shard from one home of the previous view.
struct shard_pull_progress {
    claim_key after; ///< The next page to request starts after this key.
    bool ready = true; ///< Whether all pages received so far had shard_page::ready set.
};

/// State of one shard on a VM that is or was one of its homes.
struct home_shard {
    bool ready = false; ///< Votes may be granted: every claim that was won under earlier views is recorded here.
    view_epoch lastReady; ///< Epoch of the latest view in which the shard was ready.
    view_epoch sealedBelow; ///< No votes are granted under views older than this one.
    std::set<vm_id> transferredFrom; ///< Homes of the previous view whose records have all arrived.
    bool transferredFromReady = false; ///< Whether one of the homes in transferredFrom was ready.
    /// Homes of the previous view whose records are still being pulled.
    std::map<vm_id, shard_pull_progress> pendingPulls;
    std::map<claim_key, claim_record> records; ///< Claims of the shard.
};

/// Home side of the claims: votes, stores outcomes, and transfers records to new homes when the view changes.
struct claims_home {
    vm_id self; ///< This VM.
    std::uint64_t life = 0; ///< Random number that tells this state from earlier ones of the same VM.
    claims_home_options options; ///< Limits of the stored claims.
    claims_placement placement; ///< Homes of all shards under the view in force.
    std::unordered_map<vm_id, std::uint64_t> previousLives; ///< Lives of the members of the previous view.
    bool isMember = false; ///< Whether the view in force has this VM with this life as a member.
    std::unordered_map<std::uint32_t, home_shard> shards; ///< Shards that have been used so far, by number.
    /// Claims by end of retention, oldest first. Entries of removed claims may remain.
    std::deque<std::pair<instant, claim_key>> expiry;
    /// Keys whose answer is kept, oldest first. Entries of dropped answers may remain.
    std::deque<claim_key> keptAnswers;
    std::size_t recordCount = 0; ///< Number of stored claims.
    std::size_t keptAnswerBytes = 0; ///< Total size of the kept answers in bytes.
    std::unordered_map<account_id, std::size_t> accountRecordCounts; ///< Number of stored claims by client account.
    std::optional<instant> nextPull; ///< When missing pages are requested again; nothing when none is missing.
};

/// Puts a newer view in force and starts pulling the records of shards that are new to this VM. Older views are
/// ignored.
void installView(claims_home &state, const claims_view &view, instant now, std::vector<send_claim_message> &effects);

/// Votes on an attempt of another VM or of this one, and replies.
void receive(claims_home &state, vm_id from, const claim_request &message, instant now,
             std::vector<send_claim_message> &effects);
/// Removes the vote of a released attempt and acknowledges.
void receive(claims_home &state, vm_id from, const claim_release &message, instant now,
             std::vector<send_claim_message> &effects);
/// Stores an outcome. Acknowledges it unless there is no room.
void receive(claims_home &state, vm_id from, const claim_outcome_notice &message, instant now,
             std::vector<send_claim_message> &effects);
/// Seals older views for the shard and replies with a page of its records.
void receive(claims_home &state, vm_id from, const shard_pull &message, instant now,
             std::vector<send_claim_message> &effects);
/// Merges a page and requests the next one. May make the shard ready.
void receive(claims_home &state, vm_id from, const shard_page &message, instant now,
             std::vector<send_claim_message> &effects);

/// Removes claims whose retention is over and requests missing pages again.
void onTime(claims_home &state, instant now, std::vector<send_claim_message> &effects);

/// Returns when onTime() must be called next; nothing when no work is scheduled.
std::optional<instant> nextWake(const claims_home &state);

/// Whether this VM may vote in every shard that it is a home of. True when it is not a member.
bool allShardsReady(const claims_home &state);

} // namespace guavafront
