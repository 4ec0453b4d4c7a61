#pragma once

#include "soak/soak_record.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace guavafront
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// Bounds of the platform's rules, with the values that its settings give.
constexpr duration configApply = milliseconds(2'000); ///< ConfigApplyMs
constexpr duration maxStretch = milliseconds(5'000); ///< MaxStretchMs
constexpr duration settleWindow = milliseconds(3'000); ///< SettleWindowMs
constexpr duration rollbackSlack = milliseconds(250); ///< RollbackSlackMs
constexpr duration lossSlack = milliseconds(200); ///< LossSlackMs
constexpr duration grace = seconds(6); ///< GraceS
constexpr duration recover = seconds(15); ///< RecoverS

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;

/// Whether a configuration holds a later route, a first one (0) or a bait (below 0).
bool holdsRoute(const planned_change &change, int route);

/// Whether a VM answered that it knows no such route, or denied it.
bool isDenied(int status);

/// Highest version that was acknowledged by then; 0 for none.
std::uint64_t acknowledgedBy(const soak_record &record, instant time);

/// Valid configurations that may be in force: sent by `time`, with this version or a higher one.
std::vector<const planned_change *> candidates(const soak_record &record, std::uint64_t least, instant time);

/// Whether all, or none, of the configurations hold a route.
bool allHold(const std::vector<const planned_change *> &changes, int route);
bool noneHolds(const std::vector<const planned_change *> &changes, int route);

/// Number of arrivals at instances by Request-Id.
std::map<std::string, int> countArrivals(const soak_record &record);

/// Time since the begin of the record as text.
std::string timeText(const soak_record &record, instant time);

/// A request as text.
std::string describe(const soak_record &record, const seen_request &request);

} // namespace guavafront
