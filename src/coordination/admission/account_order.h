#pragma once

#include <guavafront/coordination/admission/admission_queue.h>

namespace guavafront
{

/// Returns the account that is served next under the queue's policy, or null if no account has a waiting request.
account_queue *nextAccount(admission_queue &queue, instant now);

/// Charges an account the estimated service time of a request that starts.
void chargeEstimate(const admission_settings &settings, account_queue &account, instant now);

/// Replaces the estimated charge of a finished request by its service time, and updates the account's estimate.
void correctCharge(const admission_settings &settings, account_queue &account, duration service, instant now);

/// Decays an account's attained service by the time since it was last decayed.
void decayAttained(const admission_settings &settings, account_queue &account, instant now);

} // namespace guavafront
