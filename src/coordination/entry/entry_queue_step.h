#pragma once

#include "coordination/entry/entry_step.h"

namespace guavafront
{

/// Starts the limiter with the first step, when the time is known.
void startRateLimiter(step_context &context);

/// Hands an event to the limiter.
void updateRateLimiter(step_context &context, const limit_event &event);

/// Puts the limits of the configuration in force.
void applyRateLimits(step_context &context);

/// Takes one token of the request's account, waits for one, or refuses.
stage_verdict takeRateToken(step_context &context, exchange &request);

/// Reports what was spent to the owners of budgets, when due.
void sendLedgerReports(step_context &context);

/// Takes an owner's statement; requests that wait for it are tried again in this step.
void applyLedgerStatement(step_context &context, const ledger_statement &statement);

/// A request that may wait for a token ends.
void leaveTokenWait(entry &state, exchange &request);

/// Grants or refuses the requests that have waited for a token as long as they may.
void endTokenWaits(step_context &context);

/// Tries again the waiting requests of accounts that got a grant.
void retryAccounts(step_context &context);

/// When the limiter or a request that waits for a token needs the next step.
instant nextRateLimitWake(const entry &state);

/// Queues a request before its service's slots.
stage_verdict queueForSlot(step_context &context, exchange &request);

/// A request that may wait for a slot or hold one ends.
void leaveAdmission(entry &state, exchange &request, instant now);

/// Learns from the end of a try how many slots of the service this VM can use.
void updateConcurrencyLimit(entry &state, const exchange &request, attempt_outcome outcome);

/// Something else than a request changed: looks at all services that have requests waiting.
void checkAllAdmissions(step_context &context);

/// Goes on with all requests that this step has set free.
void drainQueues(step_context &context);

/// Sheds the cheapest work until a request with a body of that size fits; false if it can't.
bool makeRoom(step_context &context, std::uint32_t bodyBytes);

} // namespace guavafront
