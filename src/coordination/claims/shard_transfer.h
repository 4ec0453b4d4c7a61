#pragma once

#include <guavafront/coordination/claims/claims_home.h>

namespace guavafront
{

/// Requests all missing pages from the homes of the previous view and schedules the next retry.
void requestMissingPages(claims_home &state, instant now, std::vector<send_claim_message> &effects);

} // namespace guavafront
