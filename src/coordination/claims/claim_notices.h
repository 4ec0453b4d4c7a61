#pragma once

#include <guavafront/coordination/claims/claimant.h>

namespace guavafront
{

/// Sends a release or an outcome to the homes of a key, and resends it until all of them have acknowledged it or
/// claimant_options::noticeTimeout has passed.
void startNotice(claimant &state, const claim_attempt &attempt, const claim_key &key, claim_message message,
                 instant now, std::vector<claimant_effect> &effects);

/// Resends the notices that are due and drops the expired ones.
void sendNotices(claimant &state, instant now, std::vector<claimant_effect> &effects);

} // namespace guavafront
