#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace guavafront
{

/// Numbered result of an operation, stable between versions; the table is in docs/RESULT_CODES.md.
/// 0 success, 1xxx refusals to callers, 2xxx operators' changes, 3xxx settings and files, 4xxx links between VMs.
enum class result_code : std::uint16_t {
    Ok = 0,
    NoRoute = 1001,
    KeyMissing = 1002,
    KeyUnknown = 1003,
    OverRate = 1004,
    NoUpstream = 1005,
    NoCapacity = 1006,
    DeadlinePassed = 1007,
    ConfigurationStale = 1008,
    RequestQuarantined = 1009,
    OutcomeUnknown = 1010,
    AnswerIncomplete = 1011,
    UpstreamRefused = 1012,
    RequestMalformed = 1013,
    RequestTooLarge = 1014,
    DuplicateInProgress = 1015,
    IdempotencyKeyReused = 1016,
    ClaimUndecided = 1017,
    EntryOverloaded = 1018,
    EntryStopping = 1019,
    ConnectFailed = 1020,
    OrderSuperseded = 1021,
    RateUndecided = 1022,
    KeyMisplaced = 1023,
    RevisionConflict = 2001,
    ChangeInvalid = 2002,
    NotLeader = 2003,
    NotAuthorized = 2004,
    SubjectUnknown = 2005,
    SubjectExists = 2006,
    ReasonMissing = 2007,
    QuorumAtRisk = 2008,
    ChangeOutcomeUnknown = 2009,
    NotConfirmed = 2010,
    RevisionUnknown = 2011,
    SettingInvalid = 3001,
    SettingUnknown = 3002,
    FileUnreadable = 3003,
    FileExposed = 3004,
    StoreCorrupt = 3005,
    StoreFull = 3006,
    StoreVersionUnknown = 3007,
    LinkUnauthenticated = 4001,
    MessageTooLarge = 4002,
    MessageMalformed = 4003,
    MessageUnknown = 4004,
    AnnouncementRefused = 4005,
};

/// One row of the table of result codes.
struct result_code_row {
    result_code code; ///< The numbered code.
    std::string_view name; ///< Stable name in snake case, as logs and answers show it.
    std::uint16_t httpStatus; ///< Status of an HTTP answer that carries the code.
    std::string_view meaning; ///< One sentence for the operator on call.
};

/// All rows, ordered by number.
std::span<const result_code_row> resultCodeTable();

/// The row of a code. Every code must have one, which describe() asserts.
const result_code_row &describe(result_code code);

} // namespace guavafront
