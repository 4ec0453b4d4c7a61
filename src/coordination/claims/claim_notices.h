#pragma once

#include <guavafront/coordination/claims/claimant.h>

namespace guavafront
{

/// Tells the homes of a key something until all have acknowledged it, or for long enough.
void startNotice(claimant &state, const claim_attempt &attempt, const claim_key &key, claim_message message,
                 instant now, std::vector<claimant_effect> &effects);

/// Sends notices whose time has come.
void sendNotices(claimant &state, instant now, std::vector<claimant_effect> &effects);

} // namespace guavafront
