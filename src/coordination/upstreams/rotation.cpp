#include "coordination/upstreams/rotation.h"

#include <algorithm>
#include <chrono>

namespace guavafront
{

namespace
{

bool contains(std::span<const instance_id> ordered, instance_id instance)
{
    return std::ranges::binary_search(ordered, instance.value, {}, &instance_id::value);
}

bool isHeld(const selected_service &service, instance_id instance)
{
    const instance_health *health = findHealth(service.health, instance);
    return health && health->standing == local_standing::Held;
}

/// Whether this VM holds an instance, or may act on its data centre's word.
bool appliesHere(const upstream_selection &selection, const selected_service &service, instance_id instance,
                 const fleet_opinion &opinion)
{
    return isHeld(service, instance) || (opinion.corroboratedHere && selection.fleet.hearsMajority);
}

std::uint32_t majorityOf(const living_fleet &fleet)
{
    return consentMajority(fleet.vms + fleet.missingVms);
}

/// Adds the request and the motion that reports and own evidence make for an instance.
void addWanted(const upstream_selection &selection, const selected_service &service, const announcement &instance,
               std::uint32_t usual, service_requests &wanted)
{
    const corroboration_rule rule{.reporters = reportersNeeded(selection.fleet.vmsInDataCentre), .usualLevels = usual};
    const fleet_opinion opinion = opinionOf(selection.evidence, instance.instance, selection.dataCentre, rule);
    if (opinion.corroborated) {
        wanted.motions.push_back({instance.instance, opinion.consents});
    }
    const bool agreed = opinion.consents >= majorityOf(selection.fleet);
    const ejection_request request{.instance = instance.instance,
                                   .slots = instance.slots,
                                   .claim = agreed ? ejection_claim::Agreed : ejection_claim::Own,
                                   .appliesHere = appliesHere(selection, service, instance.instance, opinion)};
    if (agreed || request.appliesHere) {
        wanted.requests.push_back(request);
    }
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

/// Of what is granted, the instances with one claim.
std::vector<instance_id> withClaim(std::span<const instance_id> granted, std::span<const ejection_request> requests,
                                   ejection_claim claim)
{
    std::vector<instance_id> found;
    for (const ejection_request &request : requests) {
        if (request.claim == claim && contains(granted, request.instance)) {
            found.push_back(request.instance);
        }
    }
    std::ranges::sort(found, {}, &instance_id::value);
    return found;
}

candidate_standing standingOf(const selected_service &service, instance_id instance, const instance_health *health)
{
    if (contains(service.outOfRotation, instance)) {
        return candidate_standing::LastResort;
    }
    const bool returning = health && health->standing == local_standing::Probation;
    const bool inDoubt = returning || contains(service.fewTurns, instance);
    return inDoubt ? candidate_standing::Returning : candidate_standing::InRotation;
}

float weightOf(const selected_service &service, instance_id instance, const instance_health *health, instant now)
{
    const float weight = health ? rampWeight(service.health.limits, *health, now) : 1;
    const bool few = contains(service.fewTurns, instance);
    return few ? std::min(weight, service.health.limits.firstWeight) : weight;
}

/// Instances that lost turns until now and get them back come back gradually.
void startReturns(selected_service &service, std::span<const instance_id> before, std::span<const instance_id> granted,
                  instant now)
{
    for (const instance_id instance : before) {
        if (!contains(granted, instance)) {
            startProbation(service.health, instance, now);
        }
    }
}

} // namespace

std::vector<service_requests> collectRequests(const upstream_selection &selection, const registry &known)
{
    std::vector<service_requests> wanted(selection.services.size());
    for (const instance_id instance : concernedInstances(selection)) {
        const registered_instance *entry = findInstance(known, instance);
        if (!entry || entry->last.state != instance_state::Serving) {
            continue;
        }
        const std::uint32_t index = known.serviceIndexByInstance.at(instance);
        const std::uint32_t usual = usualLevels(selection.evidence, known.services[index].instances);
        addWanted(selection, selection.services[index], entry->last, usual, wanted[index]);
    }
    return wanted;
}

void decideConsents(const upstream_selection &selection, selected_service &service, const service_requests &wanted,
                    instant now)
{
    const std::uint32_t ejectable = ejectableSlots(service.totalSlots, service.floorPercent);
    const consent_rule rule{.groups = consentGroups(ejectable, service.largestSlots),
                            .majority = majorityOf(selection.fleet),
                            .firstAt = selection.startedAt.value_or(now) + consentMemory};
    updateConsents(service.consents, wanted.motions, rule, now);
}

void decideRotation(selected_service &service, const service_requests &wanted, instant now)
{
    const std::uint32_t floor = service.floorPercent;
    const std::vector<instance_id> fitting = grantEjections(wanted.requests, service.totalSlots, floor);
    const std::vector<instance_id> granted = boundToOwnPart(service, fitting, wanted.requests, floor);
    startReturns(service, service.outOfRotation, granted, now);
    startReturns(service, service.fewTurns, granted, now);
    service.outOfRotation = withClaim(granted, wanted.requests, ejection_claim::Agreed);
    service.fewTurns = withClaim(granted, wanted.requests, ejection_claim::Own);
    for (candidate &member : service.candidates.items) {
        const instance_health *health = findHealth(service.health, member.instance);
        member.standing = standingOf(service, member.instance, health);
        member.weight = weightOf(service, member.instance, health, now);
    }
}

void addToReport(const upstream_selection &selection, const selected_service &service, instant now,
                 health_report &report)
{
    for (const instance_health &health : service.health.instances) {
        const suspicion_level level = suspicionOf(service.health, health, now);
        if (level != suspicion_level::None
            && isReporter(selection.self, health.instance, selection.fleet.vmsInDataCentre)) {
            report.suspects.push_back({health.instance, level});
        }
    }
    for (const consent &mine : service.consents) {
        if (!mine.withdrawn) {
            report.consents.push_back(mine.instance);
        }
    }
}

} // namespace guavafront
