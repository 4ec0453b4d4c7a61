#include "coordination/upstreams/rotation.h"

#include <algorithm>
#include <chrono>

namespace guavafront
{

namespace
{

/// Reports cross the fleet within it, so that all VMs grant from the same ones.
constexpr duration settleTime = std::chrono::milliseconds(500);

bool contains(std::span<const instance_id> ordered, instance_id instance)
{
    return std::ranges::binary_search(ordered, instance.value, {}, &instance_id::value);
}

bool isHeld(const selected_service &service, instance_id instance)
{
    const instance_health *health = findHealth(service.health, instance);
    return health && health->standing == local_standing::Held;
}

/// Whether enough VMs have agreed for long enough that all VMs have heard; remembers since when.
bool isSettled(upstream_selection &selection, instance_id instance, bool corroborated, instant now)
{
    if (!corroborated) {
        selection.corroboratedSince.erase(instance);
        return false;
    }
    const auto [since, isNew] = selection.corroboratedSince.emplace(instance, now);
    return since->second + settleTime <= now;
}

/// The request that reports and own evidence make for an instance.
ejection_request requestFor(upstream_selection &selection, const selected_service &service,
                            const announcement &instance, std::uint32_t usual, instant now)
{
    const corroboration_rule rule{.reporters = reportersNeeded(selection.fleet.vmsInDataCentre), .usualLevels = usual};
    const fleet_opinion opinion = opinionOf(selection.evidence, instance.instance, selection.dataCentre, rule);
    const bool settled = isSettled(selection, instance.instance, opinion.corroborated, now);
    const bool onOthersWord = opinion.corroboratedHere && settled && selection.fleet.hearsMajority;
    ejection_request request{.instance = instance.instance, .slots = instance.slots};
    request.appliesHere = onOthersWord || isHeld(service, instance.instance);
    if (opinion.ejected) {
        request.claim = ejection_claim::Ejected;
    } else if (settled) {
        request.claim = ejection_claim::Corroborated;
    }
    return request;
}

/// Lower median of the levels against a service's instances: when all look alike, none of them is the fault.
std::uint32_t usualLevels(const shared_evidence &evidence, std::span<const registered_instance> instances)
{
    std::vector<std::uint32_t> levels;
    for (const registered_instance &entry : instances) {
        levels.push_back(levelsAgainst(evidence, entry.last.instance));
    }
    const auto middle = levels.begin() + static_cast<std::ptrdiff_t>((levels.size() - 1) / 2);
    std::ranges::nth_element(levels, middle);
    return *middle;
}

/// Whether a request concerns other VMs: own evidence alone takes up no capacity but here.
bool isRelevant(const ejection_request &request)
{
    return request.appliesHere || request.claim != ejection_claim::Own;
}

/// Instances that this VM holds or any VM reports.
std::vector<instance_id> concernedInstances(const upstream_selection &selection)
{
    std::vector<instance_id> concerned;
    for (const auto &[instance, reporters] : selection.evidence.reporters) {
        concerned.push_back(instance);
    }
    for (const selected_service &service : selection.services) {
        for (const instance_health &health : service.health.instances) {
            if (health.standing == local_standing::Held) {
                concerned.push_back(health.instance);
            }
        }
    }
    std::ranges::sort(concerned, {}, &instance_id::value);
    concerned.erase(std::unique(concerned.begin(), concerned.end()), concerned.end());
    return concerned;
}

/// Those granted that this VM uses, bounded by the floor of what it uses.
std::vector<instance_id> boundToOwnPart(const selected_service &service, std::span<const instance_id> granted,
                                        std::span<const ejection_request> requests, std::uint32_t floorPercent)
{
    std::uint32_t usedSlots = 0;
    std::vector<ejection_request> used;
    for (const candidate &member : service.candidates.items) {
        usedSlots += member.slots;
        const auto request = std::ranges::find(requests, member.instance, &ejection_request::instance);
        if (request != requests.end() && contains(granted, member.instance)) {
            used.push_back(*request);
        }
    }
    return grantEjections(used, usedSlots, floorPercent);
}

candidate_standing standingOf(const instance_health *health, bool out)
{
    if (out) {
        return candidate_standing::LastResort;
    }
    const bool returning = health && health->standing == local_standing::Probation;
    return returning ? candidate_standing::Returning : candidate_standing::InRotation;
}

} // namespace

std::vector<std::vector<ejection_request>> collectRequests(upstream_selection &selection, const registry &known,
                                                           instant now)
{
    std::vector<std::vector<ejection_request>> requests(selection.services.size());
    for (const instance_id instance : concernedInstances(selection)) {
        const registered_instance *entry = findInstance(known, instance);
        if (!entry || entry->last.state != instance_state::Serving) {
            continue;
        }
        const std::uint32_t index = known.serviceOf.at(instance);
        const std::uint32_t usual = usualLevels(selection.evidence, known.services[index].instances);
        const ejection_request request = requestFor(selection, selection.services[index], entry->last, usual, now);
        if (isRelevant(request)) {
            requests[index].push_back(request);
        }
    }
    return requests;
}

void decideRotation(const upstream_selection &selection, selected_service &service,
                    std::span<const ejection_request> requests, instant now)
{
    const std::vector<instance_id> granted = grantEjections(requests, service.totalSlots, selection.floorPercent);
    const std::vector<instance_id> out = boundToOwnPart(service, granted, requests, selection.floorPercent);
    for (const instance_id instance : service.outOfRotation) {
        if (!contains(out, instance)) {
            startProbation(service.health, instance, now);
        }
    }
    service.outOfRotation = out;
    for (candidate &member : service.candidates.items) {
        const instance_health *health = findHealth(service.health, member.instance);
        member.standing = standingOf(health, contains(out, member.instance));
        member.weight = health ? rampWeight(service.health.limits, *health, now) : 1;
    }
}

void addToReport(const upstream_selection &selection, const selected_service &service,
                 std::span<const ejection_request> requests, instant now, health_report &report)
{
    const auto reports = [&selection](instance_id instance) {
        return isReporter(selection.self, instance, selection.fleet.vmsInDataCentre);
    };
    for (const instance_health &health : service.health.instances) {
        const suspicion_level level = suspicionOf(service.health, health, now);
        if (level != suspicion_level::None && reports(health.instance)) {
            report.suspects.push_back({health.instance, level});
        }
    }
    for (const ejection_request &request : requests) {
        const bool ejected = request.claim != ejection_claim::Own && contains(service.outOfRotation, request.instance);
        if (ejected && reports(request.instance)) {
            report.ejected.push_back(request.instance);
        }
    }
}

} // namespace guavafront
