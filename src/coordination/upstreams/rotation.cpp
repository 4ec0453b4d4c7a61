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

bool isHeld(const upstream_service &service, instance_id instance)
{
    const instance_health *health = findHealth(service.health, instance);
    return health && health->state == local_health_state::Held;
}

/// Whether an ejection of the instance applies at this VM: by its own evidence, or by the reports of its data centre
/// while this VM is in contact with most of the fleet.
bool appliesHere(const upstream_selection &selection, const upstream_service &service, instance_id instance,
                 const evidence_summary &opinion)
{
    return isHeld(service, instance) || (opinion.corroboratedInDataCentre && selection.fleet.seesMajority);
}

std::uint32_t consentMajorityOf(const fleet_summary &fleet)
{
    return consentMajority(fleet.vms + fleet.missingVms);
}

/// Adds the ejection request and the motion for an instance that the reports and this VM's evidence justify.
void addEjectionInputs(const upstream_selection &selection, const upstream_service &service,
                       const announcement &instance, std::uint32_t usual, ejection_inputs &inputs)
{
    const corroboration_rule rule{.minReporters = reportersNeeded(selection.fleet.vmsInDataCentre),
                                  .usualLevels = usual};
    const evidence_summary opinion =
        summarizeEvidence(selection.evidence, instance.instance, selection.dataCentre, rule);
    if (opinion.corroboratedAnywhere) {
        inputs.motions.push_back({instance.instance, opinion.consents});
    }
    const bool agreed = opinion.consents >= consentMajorityOf(selection.fleet);
    const ejection_request request{.instance = instance.instance,
                                   .slots = instance.slots,
                                   .basis = agreed ? ejection_basis::Agreed : ejection_basis::Suspected,
                                   .appliesHere = appliesHere(selection, service, instance.instance, opinion)};
    if (agreed || request.appliesHere) {
        inputs.requests.push_back(request);
    }
}

/// Lower median of the suspicion levels against a service's instances. When all instances are suspected alike, the
/// fault isn't in one of them.
std::uint32_t usualLevels(const shared_evidence &evidence, std::span<const registered_instance> instances)
{
    std::vector<std::uint32_t> levels;
    for (const registered_instance &entry : instances) {
        levels.push_back(highestLevelSum(evidence, entry.last.instance));
    }
    const auto middle = levels.begin() + static_cast<std::ptrdiff_t>((levels.size() - 1) / 2);
    std::ranges::nth_element(levels, middle);
    return *middle;
}

/// Instances that this VM's evidence holds out of rotation or that any VM reports, ordered by id.
std::vector<instance_id> suspectedInstances(const upstream_selection &selection)
{
    std::vector<instance_id> suspected;
    for (const auto &[instance, reporters] : selection.evidence.reporters) {
        suspected.push_back(instance);
    }
    for (const upstream_service &service : selection.services) {
        for (const instance_health &health : service.health.instances) {
            if (health.state == local_health_state::Held) {
                suspected.push_back(health.instance);
            }
        }
    }
    std::ranges::sort(suspected, {}, &instance_id::value);
    suspected.erase(std::unique(suspected.begin(), suspected.end()), suspected.end());
    return suspected;
}

/// The granted instances among this VM's candidates, as far as the floor of the candidates' own slots allows.
std::vector<instance_id> limitToCandidates(const upstream_service &service, std::span<const instance_id> granted,
                                           std::span<const ejection_request> requests, std::uint32_t floorPercent)
{
    std::uint32_t usedSlots = 0;
    std::vector<ejection_request> used;
    for (const candidate &member : service.candidates.members) {
        usedSlots += member.slots;
        const auto request = std::ranges::find(requests, member.instance, &ejection_request::instance);
        if (request != requests.end() && contains(granted, member.instance)) {
            used.push_back(*request);
        }
    }
    return grantEjections(used, usedSlots, floorPercent);
}

/// The granted instances whose request has the given claim, ordered by id.
std::vector<instance_id> withClaim(std::span<const instance_id> granted, std::span<const ejection_request> requests,
                                   ejection_basis claim)
{
    std::vector<instance_id> found;
    for (const ejection_request &request : requests) {
        if (request.basis == claim && contains(granted, request.instance)) {
            found.push_back(request.instance);
        }
    }
    std::ranges::sort(found, {}, &instance_id::value);
    return found;
}

rotation_state rotationStateOf(const upstream_service &service, instance_id instance, const instance_health *health)
{
    if (contains(service.outOfRotation, instance)) {
        return rotation_state::LastResort;
    }
    const bool returning = health && health->state == local_health_state::Probation;
    const bool inDoubt = returning || contains(service.reducedWeight, instance);
    return inDoubt ? rotation_state::Returning : rotation_state::InRotation;
}

float weightOf(const upstream_service &service, instance_id instance, const instance_health *health, instant now)
{
    const float weight = health ? rampWeight(service.health.limits, *health, now) : 1;
    const bool few = contains(service.reducedWeight, instance);
    return few ? std::min(weight, service.health.limits.initialWeight) : weight;
}

/// Starts the probation of instances that are no longer ejected or at a low weight, so that their share of requests
/// grows gradually.
void startProbations(upstream_service &service, std::span<const instance_id> before,
                     std::span<const instance_id> granted, instant now)
{
    for (const instance_id instance : before) {
        if (!contains(granted, instance)) {
            startProbation(service.health, instance, now);
        }
    }
}

} // namespace

std::vector<ejection_inputs> collectEjectionInputs(const upstream_selection &selection, const registry &known)
{
    std::vector<ejection_inputs> inputs(selection.services.size());
    for (const instance_id instance : suspectedInstances(selection)) {
        const registered_instance *entry = findInstance(known, instance);
        if (!entry || !isUsable(selection.notices, *entry)) {
            continue;
        }
        const std::uint32_t index = known.serviceIndexByInstance.at(instance);
        const std::uint32_t usual = usualLevels(selection.evidence, known.services[index].instances);
        addEjectionInputs(selection, selection.services[index], entry->last, usual, inputs[index]);
    }
    return inputs;
}

void updateServiceConsents(const upstream_selection &selection, upstream_service &service,
                           const ejection_inputs &inputs, instant now)
{
    const std::uint32_t ejectable = ejectableSlots(service.totalSlots, service.floorPercent);
    const consent_rule rule{.groupCount = consentGroupCount(ejectable, service.largestSlots),
                            .majority = consentMajorityOf(selection.fleet),
                            .earliestAt = selection.startedAt.value_or(now) + withdrawnConsentLifetime};
    updateConsents(service.consents, inputs.motions, rule, now);
}

void updateServiceRotation(upstream_service &service, const ejection_inputs &inputs, instant now)
{
    const std::uint32_t floor = service.floorPercent;
    const std::vector<instance_id> fitting = grantEjections(inputs.requests, service.totalSlots, floor);
    const std::vector<instance_id> granted = limitToCandidates(service, fitting, inputs.requests, floor);
    startProbations(service, service.outOfRotation, granted, now);
    startProbations(service, service.reducedWeight, granted, now);
    service.outOfRotation = withClaim(granted, inputs.requests, ejection_basis::Agreed);
    service.reducedWeight = withClaim(granted, inputs.requests, ejection_basis::Suspected);
    for (candidate &member : service.candidates.members) {
        const instance_health *health = findHealth(service.health, member.instance);
        member.rotation = rotationStateOf(service, member.instance, health);
        member.weight = weightOf(service, member.instance, health, now);
    }
}

void addToReport(const upstream_selection &selection, const upstream_service &service, instant now,
                 health_report &report)
{
    for (const instance_health &health : service.health.instances) {
        const suspicion_level level = suspicionLevelOf(service.health, health, now);
        if (level != suspicion_level::None
            && isReporter(selection.self, health.instance, selection.fleet.vmsInDataCentre)) {
            report.suspicions.push_back({health.instance, level});
        }
    }
    for (const consent &mine : service.consents) {
        if (!mine.withdrawn) {
            report.consents.push_back(mine.instance);
        }
    }
}

} // namespace guavafront
