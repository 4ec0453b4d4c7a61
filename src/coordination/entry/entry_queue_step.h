#pragma once

#include "coordination/entry/entry_step.h"

namespace guavafront
{

/// Creates the rate limiter in the first step, since only a step knows the time.
void startRateLimiter(step_context &context);

/// Passes an event to the rate limiter, if it is in use.
void updateRateLimiter(step_context &context, const limit_event &event);

/// Applies the rate limits of the active configuration.
void applyRateLimits(step_context &context);

/// Takes a token of the rate of the request's account, or parks the request until one is available, or refuses it.
stage_verdict takeRateToken(step_context &context, exchange &request);

/// Reports spent tokens to the owners of the ledgers when a report is due.
void sendLedgerReports(step_context &context);

/// Applies the statement of a ledger's owner. Requests that wait for tokens of its accounts are retried in this step.
void applyLedgerStatement(step_context &context, const ledger_statement &statement);

/// Removes a request that ends from the requests that wait for a token, if it is one of them.
void leaveTokenWait(entry &state, exchange &request);

/// Retries the requests that are due for another try at a token, and grants or refuses those whose wait has expired.
void endTokenWaits(step_context &context);

/// Retries the waiting requests of token_waits::accountsToRetry.
void retryAccounts(step_context &context);

/// Time when the rate limiter, the ledger or a request that waits for a token needs the next step.
instant nextRateLimitWake(const entry &state);

/// Puts a request into the queue for a slot of its service; the queue may shed it or other requests.
stage_verdict queueForSlot(step_context &context, exchange &request);

/// Removes a request that ends from its service's queue, or frees the slot that it holds.
void leaveAdmission(entry &state, exchange &request, instant now);

/// Adapts the service's concurrency limit to the outcome of an attempt.
void updateConcurrencyLimit(entry &state, const exchange &request, attempt_outcome outcome);

/// Marks every service with waiting requests to be served in this step, since something other than a request changed.
/// Periodically drops expired requests.
void checkAllAdmissions(step_context &context);

/// Continues all waiting requests for which this step made tokens or slots available.
void drainQueues(step_context &context);

/// Sheds requests that wait for a token until a new request with a body of the given size fits; false when it can't.
bool makeRoom(step_context &context, std::uint32_t bodyBytes);

} // namespace guavafront
