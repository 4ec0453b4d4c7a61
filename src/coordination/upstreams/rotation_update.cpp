#include "coordination/upstreams/rotation.h"

#include <algorithm>

namespace guavafront
{

namespace
{

void sortReport(health_report &report)
{
    std::ranges::sort(report.suspicions, {}, [](const suspicion &each) { return each.instance.value; });
    std::ranges::sort(report.consents, {}, &instance_id::value);
}

/// Whether a report has something new that the other VMs need at once: a suspicion above a hint, or any change of
/// consents.
bool isUrgent(const health_report &before, const health_report &after)
{
    const auto isNewSuspicion = [&before](const suspicion &each) {
        return each.level > suspicion_level::Hint
               && std::ranges::find(before.suspicions, each) == before.suspicions.end();
    };
    return before.consents != after.consents || std::ranges::any_of(after.suspicions, isNewSuspicion);
}

/// Whether a report is to be published now. Reports that aren't urgent wait, the longer the more VMs there are, so that
/// the bytes of all reports stay within a budget.
bool isDue(const upstream_selection &selection, const health_report &report, instant now)
{
    constexpr duration intervalPerVm = std::chrono::milliseconds(10);
    const auto known = selection.evidence.reports.find(selection.self);
    const health_report before =
        known == selection.evidence.reports.end() ? health_report{.dataCentre = report.dataCentre} : known->second;
    if (before == report) {
        return false;
    }
    return isUrgent(before, report) || selection.lastReportAt + intervalPerVm * selection.fleet.vms <= now;
}

} // namespace

std::uint32_t floorPercentOf(const upstream_selection &selection, std::string_view service)
{
    const auto found = std::ranges::find(selection.floors, service, &service_floor::service);
    return found == selection.floors.end() ? selection.floorPercent : found->percent;
}

std::optional<health_report> updateRotation(upstream_selection &selection, const registry &known, instant now)
{
    selection.startedAt = selection.startedAt.value_or(now);
    for (upstream_service &service : selection.services) {
        advanceHealth(service.health, now);
        driftStaleLatencies(service.candidates, now);
    }
    const std::vector<ejection_inputs> requests = collectEjectionInputs(selection, known);
    health_report report{.dataCentre = selection.dataCentre};
    for (std::size_t index = 0; index < selection.services.size(); ++index) {
        selection.services[index].floorPercent = floorPercentOf(selection, known.services[index].service);
        updateServiceConsents(selection, selection.services[index], requests[index], now);
        updateServiceRotation(selection.services[index], requests[index], now);
        addToReport(selection, selection.services[index], now, report);
    }
    sortReport(report);
    if (!isDue(selection, report, now)) {
        return std::nullopt;
    }
    selection.lastReportAt = now;
    putReport(selection.evidence, selection.self, report);
    return report;
}

} // namespace guavafront
