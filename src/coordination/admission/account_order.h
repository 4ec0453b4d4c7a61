#pragma once

#include <guavafront/coordination/admission/admission_queue.h>

namespace guavafront
{

/// The waiting account that is served next under the queue's policy; null if none waits.
account_queue *nextAccount(admission_queue &queue, instant now);

/// Charges an account for a request that starts.
void chargeEstimate(const admission_settings &settings, account_queue &account, instant now);

/// Corrects the charge when the request's service time is known.
void correctCharge(const admission_settings &settings, account_queue &account, duration service, instant now);

/// Brings an account's attained service up to now.
void decayAttained(const admission_settings &settings, account_queue &account, instant now);

} // namespace guavafront
