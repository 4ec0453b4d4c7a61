#include <guavafront/coordination/core/result_code.h>

#include <algorithm>
#include <array>
#include <cassert>

namespace guavafront
{

namespace
{

constexpr std::array rows{
    result_code_row{result_code::Ok, "ok", 200, "Done."},
    result_code_row{result_code::NoRoute, "no_route", 404, "No route matches the request's host and path."},
    result_code_row{result_code::KeyMissing, "key_missing", 401, "The route is keyed and the request carries no key."},
    result_code_row{result_code::KeyUnknown, "key_unknown", 401, "The key is unknown or was withdrawn."},
    result_code_row{result_code::OverRate, "over_rate", 429, "The client account has spent its rate and burst."},
    result_code_row{result_code::NoUpstream, "no_upstream", 503, "No instance of the service is announced."},
    result_code_row{result_code::NoCapacity, "no_capacity", 503, "Every slot is taken and the queue is full."},
    result_code_row{result_code::DeadlinePassed, "deadline_passed", 504,
                    "The deadline passed before the request was sent."},
    result_code_row{result_code::ConfigurationStale, "configuration_stale", 503,
                    "This entry VM is cut off and can't know of withdrawn keys."},
    result_code_row{result_code::RequestQuarantined, "request_quarantined", 503,
                    "The same request was last seen on several upstreams that died."},
    result_code_row{result_code::OutcomeUnknown, "outcome_unknown", 504,
                    "The request may have run; no whole answer was received."},
    result_code_row{result_code::AnswerIncomplete, "answer_incomplete", 502,
                    "The upstream's answer was cut or malformed."},
    result_code_row{result_code::UpstreamRefused, "upstream_refused", 503,
                    "The upstream refused the request before running it."},
    result_code_row{result_code::RequestMalformed, "request_malformed", 400,
                    "The request breaks RFC 9112 or RFC 9110."},
    result_code_row{result_code::RequestTooLarge, "request_too_large", 413,
                    "The request's header or body exceeds the limit."},
    result_code_row{result_code::DuplicateInProgress, "duplicate_in_progress", 409,
                    "A request with the same idempotency key is still running."},
    result_code_row{result_code::IdempotencyKeyReused, "idempotency_key_reused", 422,
                    "The idempotency key was used for a different request."},
    result_code_row{result_code::ClaimUndecided, "claim_undecided", 503,
                    "No quorum answered whether the idempotency key is new."},
    result_code_row{result_code::EntryOverloaded, "entry_overloaded", 503, "The entry VM is at its own limits."},
    result_code_row{result_code::EntryStopping, "entry_stopping", 503, "The entry VM is shutting down."},
    result_code_row{result_code::ConnectFailed, "connect_failed", 503, "No connection to an upstream could be made."},
    result_code_row{result_code::OrderSuperseded, "order_superseded", 409,
                    "A newer change of the same ordered resource was already sent."},
    result_code_row{result_code::RateUndecided, "rate_undecided", 503,
                    "No VM could tell in time whether the client account is within its rate."},
    result_code_row{result_code::RevisionConflict, "revision_conflict", 409,
                    "The change was based on another revision."},
    result_code_row{result_code::ChangeInvalid, "change_invalid", 422,
                    "The change would make the configuration invalid."},
    result_code_row{result_code::NotLeader, "not_leader", 503, "This VM is not the leader; ask the one named."},
    result_code_row{result_code::NotAuthorized, "not_authorized", 403,
                    "The token's role does not allow the operation."},
    result_code_row{result_code::SubjectUnknown, "subject_unknown", 404,
                    "The account, key, route or exception does not exist."},
    result_code_row{result_code::SubjectExists, "subject_exists", 409,
                    "The account, key, route or exception exists already."},
    result_code_row{result_code::ReasonMissing, "reason_missing", 422, "An exception needs a written reason."},
    result_code_row{result_code::QuorumAtRisk, "quorum_at_risk", 409,
                    "The membership change would endanger the quorum."},
    result_code_row{result_code::ChangeOutcomeUnknown, "change_outcome_unknown", 504,
                    "The change may have been accepted; resend it with the same request ID."},
    result_code_row{result_code::SettingInvalid, "setting_invalid", 400,
                    "A setting has the wrong type, unit or range."},
    result_code_row{result_code::SettingUnknown, "setting_unknown", 400, "A setting's name is unknown."},
    result_code_row{result_code::FileUnreadable, "file_unreadable", 500, "A file can't be read."},
    result_code_row{result_code::FileExposed, "file_exposed", 500, "A secret's file is readable by others."},
    result_code_row{result_code::StoreCorrupt, "store_corrupt", 500, "A record in the middle of the log is damaged."},
    result_code_row{result_code::StoreFull, "store_full", 507, "The disk is full; nothing was acknowledged."},
    result_code_row{result_code::StoreVersionUnknown, "store_version_unknown", 500, "The file's version is not known."},
    result_code_row{result_code::LinkUnauthenticated, "link_unauthenticated", 401,
                    "The peer did not prove the fleet secret."},
    result_code_row{result_code::MessageTooLarge, "message_too_large", 413, "A peer's message exceeds the limit."},
    result_code_row{result_code::MessageMalformed, "message_malformed", 400, "A peer's message can't be decoded."},
    result_code_row{result_code::MessageUnknown, "message_unknown", 400,
                    "A peer's message is of an unknown type or version."},
    result_code_row{result_code::AnnouncementRefused, "announcement_refused", 403,
                    "The announcement's token or content is wrong."},
};

} // namespace

std::span<const result_code_row> resultCodeTable()
{
    return rows;
}

const result_code_row &describe(result_code code)
{
    const auto row = std::ranges::lower_bound(rows, code, {}, &result_code_row::code);
    assert(row != rows.end() && row->code == code);
    return *row;
}

} // namespace guavafront
