#pragma once

#include <guavafront/coordination/entry/entry_effect.h>
#include <guavafront/coordination/entry/entry_event.h>

#include <stdexcept>
#include <string>

namespace guavafront
{

/// What the front end knows of one request, kept independently of the entry's state so that effects can be checked.
struct request_record {
    bool repeatable = false; ///< The request is safe to run more than once.
    bool hasIdempotencyKey = false; ///< Sent with an idempotency key, so an earlier request with it may have run.
    bool callerLeft = false; ///< The caller has disconnected.
    bool ended = false; ///< The caller was answered or refused.
    bool running = false; ///< An attempt is in progress.
    bool answered = false; ///< The last attempt brought a complete answer.
    bool mayHaveRun = false; ///< An upstream that didn't report a refusal may have received bytes.
};

/// Throws an error that names the violated rule unless it holds.
inline void require(bool holds, const char *violation, exchange_id id)
{
    if (!holds) {
        throw std::runtime_error("request " + std::to_string(id.value) + ": " + violation);
    }
}

/// Whether the entry's state must still contain the request.
inline bool isLive(const request_record &record)
{
    return !record.ended && (!record.callerLeft || record.running);
}

/// Records the end of an attempt as the front end reports it.
inline void recordAttempt(request_record &record, const attempt_result &result)
{
    record.running = false;
    record.answered = result.outcome == attempt_outcome::Answered;
    record.mayHaveRun =
        record.mayHaveRun || (result.mayHaveBeenSent && result.outcome != attempt_outcome::RefusedNotRun);
}

/// Checks and records the start of an attempt.
inline void check(request_record &record, const start_attempt &effect)
{
    require(isLive(record) && !record.callerLeft, "attempt started after the request ended", effect.id);
    require(!record.running, "two attempts at once", effect.id);
    require(record.repeatable || !record.mayHaveRun, "non-repeatable request sent again after it may have run",
            effect.id);
    record.running = true;
}

/// Checks and records the cancellation of an attempt, whose bytes may already have been sent.
inline void check(request_record &record, const cancel_attempt &effect)
{
    require(record.running, "attempt cancelled, but none is in progress", effect.id);
    record.running = false;
    record.mayHaveRun = true;
}

/// Records the end of a request, which must be its only one.
inline void recordEnd(request_record &record, exchange_id id)
{
    require(!record.ended, "request ended twice", id);
    require(!record.callerLeft, "request ended towards a caller that had disconnected", id);
    require(!record.running, "request ended with an attempt in progress", id);
    record.ended = true;
}

/// Checks the delivery of the last attempt's answer.
inline void check(request_record &record, const deliver_answer &effect)
{
    recordEnd(record, effect.id);
    require(record.answered, "answer delivered without a complete answer from upstream", effect.id);
}

/// Checks the replay of the answer to an earlier request.
inline void check(request_record &record, const replay_answer &effect)
{
    recordEnd(record, effect.id);
    require(record.hasIdempotencyKey && !record.mayHaveRun,
            "answer replayed without an idempotency key or after the request itself was sent", effect.id);
}

/// Checks a refusal: "not run" only if no upstream can have run the request, and the reverse.
inline void check(request_record &record, const refuse_request &effect)
{
    recordEnd(record, effect.id);
    if (effect.reason.ran == execution::NotRun) {
        require(!record.mayHaveRun, "refused as not run although it may have run", effect.id);
    } else {
        require(record.mayHaveRun || record.hasIdempotencyKey, "refused as unknown although it can't have run",
                effect.id);
    }
}

} // namespace guavafront
