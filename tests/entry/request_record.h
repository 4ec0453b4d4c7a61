#pragma once

#include <guavafront/coordination/entry/entry_effect.h>
#include <guavafront/coordination/entry/entry_event.h>

#include <stdexcept>
#include <string>

namespace guavafront
{

/// What a front end knows of one request, apart from the entry's own state.
struct request_record {
    bool repeatable = false; ///< Upstreams may see it more than once.
    bool hasIdempotencyKey = false; ///< Sent an idempotency key, so another sending may have run.
    bool callerLeft = false; ///< Its caller went away.
    bool ended = false; ///< Its caller got an answer or a refusal.
    bool running = false; ///< A try is under way.
    bool answered = false; ///< Its last try brought a whole answer.
    bool mayHaveRun = false; ///< A byte may have reached an upstream that didn't say that it refused.
};

/// Throws what was broken unless the promise holds.
inline void require(bool holds, const char *violation, exchange_id id)
{
    if (!holds) {
        throw std::runtime_error("request " + std::to_string(id.value) + ": " + violation);
    }
}

/// Whether the entry must still hold the request.
inline bool isLive(const request_record &record)
{
    return !record.ended && (!record.callerLeft || record.running);
}

/// A try ends as the front end reports it.
inline void recordAttempt(request_record &record, const attempt_result &result)
{
    record.running = false;
    record.answered = result.outcome == attempt_outcome::Answered;
    record.mayHaveRun =
        record.mayHaveRun || (result.mayHaveBeenSent && result.outcome != attempt_outcome::RefusedNotRun);
}

/// A try starts.
inline void check(request_record &record, const start_attempt &effect)
{
    require(isLive(record) && !record.callerLeft, "sent after its end", effect.id);
    require(!record.running, "two tries at once", effect.id);
    require(record.repeatable || !record.mayHaveRun, "not repeatable, sent after it may have run", effect.id);
    record.running = true;
}

/// The entry gives up on a try, whose bytes may be under way.
inline void check(request_record &record, const cancel_attempt &effect)
{
    require(record.running, "cancelled without a try", effect.id);
    record.running = false;
    record.mayHaveRun = true;
}

/// Marks the one end of a request.
inline void recordEnd(request_record &record, exchange_id id)
{
    require(!record.ended, "ended twice", id);
    require(!record.callerLeft, "answered a caller that had left", id);
    require(!record.running, "ended with a try under way", id);
    record.ended = true;
}

/// The last try's answer goes to the caller.
inline void check(request_record &record, const deliver_answer &effect)
{
    recordEnd(record, effect.id);
    require(record.answered, "delivered without a whole answer", effect.id);
}

/// The answer to an earlier sending goes to the caller.
inline void check(request_record &record, const replay_answer &effect)
{
    recordEnd(record, effect.id);
    require(record.hasIdempotencyKey && !record.mayHaveRun, "replayed after it was sent itself", effect.id);
}

/// A refusal goes to the caller.
inline void check(request_record &record, const refuse_request &effect)
{
    recordEnd(record, effect.id);
    if (effect.reason.ran == execution::NotRun) {
        require(!record.mayHaveRun, "told not run although it may have run", effect.id);
    } else {
        require(record.mayHaveRun || record.hasIdempotencyKey, "told unknown although it can't have run", effect.id);
    }
}

} // namespace guavafront
