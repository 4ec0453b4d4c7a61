#include "soak/soak_bounds.h"

#include "soak/soak_checks.h"

#include <algorithm>
#include <sstream>

namespace guavafront
{

namespace
{

bool overlaps(const disturbance &each, instant begin, instant end)
{
    return each.kind != disturbance_kind::Reloaded && each.from <= end && each.to >= begin;
}

bool isEdge(const disturbance &each, instant begin, instant end)
{
    return each.kind != disturbance_kind::Reloaded
           && ((each.from >= begin && each.from <= end) || (each.to >= begin && each.to <= end));
}

std::size_t controlsAway(const soak_record &record, instant time)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        record.disturbances, [time](const disturbance &each) { return each.control && overlaps(each, time, time); }));
}

/// Whether more than half of the control VMs ran during the whole time.
bool majorityRan(const soak_record &record, instant begin, instant end)
{
    const auto isMajorityAt = [&record](instant time) {
        return 2 * (record.controls - std::min(record.controls, controlsAway(record, time))) > record.controls;
    };
    return isMajorityAt(begin) && std::ranges::all_of(record.disturbances, [&](const disturbance &each) {
               return each.from < begin || each.from > end || isMajorityAt(each.from);
           });
}

} // namespace

bool holdsRoute(const planned_change &change, int route)
{
    return route == 0 || (route > 0 && std::ranges::find(change.routes, route) != change.routes.end());
}

bool isDenied(int status)
{
    constexpr int unauthorized = 401;
    constexpr int forbidden = 403;
    return status == unauthorized || status == forbidden || status == statusNotFound;
}

std::uint64_t acknowledgedBy(const soak_record &record, instant time)
{
    std::uint64_t highest = 0;
    for (const sent_change &each : record.sent) {
        if (record.changes[each.change].kind == change_kind::Valid && each.status == statusOk && each.endedAt <= time) {
            highest = std::max(highest, each.version);
        }
    }
    return highest;
}

std::vector<const planned_change *> candidates(const soak_record &record, std::uint64_t least, instant time)
{
    std::vector<const planned_change *> list;
    for (const sent_change &each : record.sent) {
        const planned_change &change = record.changes[each.change];
        if (change.kind == change_kind::Valid && each.version >= least && each.sentAt <= time) {
            list.push_back(&change);
        }
    }
    return list;
}

bool allHold(const std::vector<const planned_change *> &changes, int route)
{
    return std::ranges::all_of(changes, [route](const planned_change *each) { return holdsRoute(*each, route); });
}

bool noneHolds(const std::vector<const planned_change *> &changes, int route)
{
    return std::ranges::none_of(changes, [route](const planned_change *each) { return holdsRoute(*each, route); });
}

std::map<std::string, int> countArrivals(const soak_record &record)
{
    std::map<std::string, int> counts;
    for (const seen_arrival &each : record.arrivals) {
        ++counts[each.id];
    }
    return counts;
}

std::string timeText(const soak_record &record, instant time)
{
    std::ostringstream text;
    text.precision(3);
    text << std::fixed << std::chrono::duration<double>(time - record.startedAt).count() << " s";
    return text.str();
}

std::string describe(const soak_record &record, const seen_request &request)
{
    return request.id + " at " + request.vm + ", sent at " + timeText(record, request.sentAt) + ", ended at "
           + timeText(record, request.endedAt) + ", status " + std::to_string(request.status)
           + (request.cut ? " (cut)" : "");
}

std::optional<duration> applyBound(const soak_record &record, const std::string &vm, instant sentAt, instant endedAt)
{
    const instant calmSince = sentAt - settleWindow;
    const auto &list = record.disturbances;
    const bool disturbed = std::ranges::any_of(
        list, [&](const disturbance &each) { return each.vm == vm && overlaps(each, calmSince, endedAt); });
    if (disturbed) {
        return std::nullopt;
    }
    const bool unstable = std::ranges::any_of(
        list, [&](const disturbance &each) { return each.control && isEdge(each, calmSince, endedAt); });
    if (!unstable && majorityRan(record, calmSince, endedAt)) {
        return configApply;
    }
    if (majorityRan(record, calmSince - configApply - maxStretch, endedAt)) {
        return configApply + maxStretch;
    }
    return std::nullopt;
}

} // namespace guavafront
