#pragma once

#include <guavafront/coordination/claims/claims_home.h>

namespace guavafront
{

/// Asks the homes of the previous view for the pages that are missing.
void requestMissingPages(claims_home &state, instant now, std::vector<send_claim_message> &effects);

} // namespace guavafront
