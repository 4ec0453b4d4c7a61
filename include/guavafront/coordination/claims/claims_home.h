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

/// Limits of the claims that one VM keeps.
struct claims_home_options {
    duration retention = std::chrono::hours(24); ///< How long a claim is kept; afterwards its key may run again.
    std::size_t maxRecords = 100'000; ///< Claims at most; more are refused, none is forgotten early.
    std::size_t maxAccountPercent = 50; ///< Share of maxRecords that one client account may fill.
    std::size_t maxAnswerBytes = 4'096; ///< A larger answer is not kept, only that it was given.
    std::size_t maxTotalAnswerBytes =
        std::size_t{16} * 1024 * 1024; ///< Of all kept answers; the oldest are dropped first.
    duration pullRetryInterval = std::chrono::milliseconds(200); ///< Until a page is asked for again.
};

/// What a home VM knows of one key.
struct claim_record {
    std::vector<claim_holder> holders; ///< Attempts with this VM's vote; several only after a change of view.
    std::optional<claim_outcome> outcome; ///< Set once the request is known to have been answered.
    instant expires; ///< End of its retention.
};

/// Progress of one home of the previous view in telling what it knows.
struct shard_pull_progress {
    claim_key after; ///< The next page starts after this key.
    bool ready = true; ///< It was ready while it made each page so far.
};

/// One shard on a VM that is, or was, among its homes.
struct home_shard {
    bool ready = false; ///< All that earlier views decided is known here: votes may be given.
    view_epoch lastReady; ///< Highest view in which it was ready.
    view_epoch sealedBelow; ///< No votes under views below this one.
    std::set<vm_id> transferredFrom; ///< Homes of the previous view that told all they know.
    bool transferredFromReady = false; ///< One of them was ready.
    std::map<vm_id, shard_pull_progress> pendingPulls; ///< Homes that are being asked.
    std::map<claim_key, claim_record> records; ///< Claims.
};

/// Home side of the claims: votes, stores outcomes, and hands a shard over when the view changes.
struct claims_home {
    vm_id self; ///< This VM.
    std::uint64_t life = 0; ///< Drawn when this state was made.
    claims_home_options options; ///< Limits.
    claims_placement placement; ///< Under the view in force.
    std::unordered_map<vm_id, std::uint64_t> previousLives; ///< Of the members before.
    bool isMember = false; ///< This life is a member of the view in force.
    std::unordered_map<std::uint32_t, home_shard> shards; ///< Shards with something to know or to do.
    std::deque<std::pair<instant, claim_key>> expiry; ///< Oldest claims first.
    std::deque<claim_key> keptAnswers; ///< Keys whose answer is kept, oldest first.
    std::size_t recordCount = 0; ///< Claims.
    std::size_t keptAnswerBytes = 0; ///< Bytes of kept answers.
    std::unordered_map<account_id, std::size_t> accountRecordCounts; ///< Claims by client account.
    std::optional<instant> nextPull; ///< When pages are asked for again; nothing when none is missing.
};

/// Puts a newer view in force; older ones are ignored.
void installView(claims_home &state, const claims_view &view, instant now, std::vector<send_claim_message> &effects);

/// Takes a message from another VM, or from this one.
void receive(claims_home &state, vm_id from, const claim_request &message, instant now,
             std::vector<send_claim_message> &effects);
void receive(claims_home &state, vm_id from, const claim_release &message, instant now,
             std::vector<send_claim_message> &effects); ///< As above.
void receive(claims_home &state, vm_id from, const claim_outcome_notice &message, instant now,
             std::vector<send_claim_message> &effects); ///< As above.
void receive(claims_home &state, vm_id from, const shard_pull &message, instant now,
             std::vector<send_claim_message> &effects); ///< As above.
void receive(claims_home &state, vm_id from, const shard_page &message, instant now,
             std::vector<send_claim_message> &effects); ///< As above.

/// Forgets what outlived its retention and asks again for missing pages.
void onTime(claims_home &state, instant now, std::vector<send_claim_message> &effects);

/// When onTime() has work next.
std::optional<instant> nextWake(const claims_home &state);

/// Whether this VM may vote in each shard that it is a home of.
bool allShardsReady(const claims_home &state);

} // namespace guavafront
