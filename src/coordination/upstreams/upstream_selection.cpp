#include <guavafront/coordination/upstreams/upstream_selection.h>

#include "coordination/upstreams/rotation.h"

#include <algorithm>
#include <iterator>

namespace guavafront
{

namespace
{

upstream_service *findService(upstream_selection &selection, const registry &known, std::string_view service)
{
    const auto found = known.serviceIndexByName.find(service);
    if (found == known.serviceIndexByName.end() || found->second >= selection.services.size()) {
        return nullptr;
    }
    return &selection.services[found->second];
}

/// The instances that are candidates. Health is kept of these alone, so that its size is bounded.
std::vector<registered_instance> candidateInstances(const candidate_set &set, std::span<const registered_instance> all)
{
    candidate_set &lookup = const_cast<candidate_set &>(set);
    std::vector<registered_instance> used;
    std::ranges::copy_if(all, std::back_inserter(used), [&lookup](const registered_instance &entry) {
        return findCandidate(lookup, entry.last.instance) != nullptr;
    });
    return used;
}

/// The instances of a service to which new requests may be sent, ordered by id.
std::vector<registered_instance> usableInstances(const instance_notices &notices, const service_instances &group)
{
    std::vector<registered_instance> usable;
    std::ranges::copy_if(group.instances, std::back_inserter(usable),
                         [&notices](const registered_instance &each) { return isUsable(notices, each); });
    return usable;
}

void followService(const upstream_selection &selection, upstream_service &service, const service_instances &group)
{
    const std::vector<registered_instance> usable = usableInstances(selection.notices, group);
    updateMembers(service.candidates, usable, {.self = selection.self, .dataCentre = selection.dataCentre});
    updateMembers(service.health, candidateInstances(service.candidates, usable));
    service.totalSlots = 0;
    service.largestSlots = 0;
    for (const registered_instance &each : usable) {
        service.totalSlots += each.last.slots;
        service.largestSlots = std::max<std::uint32_t>(service.largestSlots, each.last.slots);
    }
    service.evacuatedInstances = static_cast<std::uint32_t>(
        std::ranges::count_if(group.instances, [&selection](const registered_instance &each) {
            return isEvacuated(selection.notices, each.last.dataCentre) && isServing(selection.notices, each);
        }));
    service.registryGeneration = group.generation;
}

/// Counts the end of an attempt at the candidate. A failure counts with at least the average latency, so that failures
/// never make an instance look faster. A timeout on a reused connection says nothing about the instance.
void updateCandidate(candidate_set &set, candidate &member, const outcome &ended, instant now)
{
    const bool silent = ended.kind == outcome_kind::TimedOut && ended.reusedConnection;
    if (silent || ended.kind == outcome_kind::Shed || ended.kind == outcome_kind::Cancelled) {
        onRequestEnded(member, ended.work);
        return;
    }
    const bool isWorkKnown = ended.work > duration::zero();
    const duration expected = ended.expectedWait + ended.work;
    if (ended.kind == outcome_kind::Answered) {
        onRequestAnswered(set, member, ended.latency, now, ended.work);
    } else {
        const auto average = duration(static_cast<std::int64_t>(member.latencyUs));
        onRequestAnswered(set, member, std::max(ended.latency, average), now, ended.work);
    }
    if (isWorkKnown) {
        const bool failed = ended.kind != outcome_kind::Answered;
        recordSlowness(member, failed ? std::max(ended.latency, expected) : ended.latency, expected, now);
    }
}

/// Time for which an instance counts as full: about as long as a request takes a slot.
constexpr duration fullMarkTime = std::chrono::milliseconds(300);

/// Retry budget for balancing_policy::Affinity, under which many VMs send little traffic each. The retries of all VMs
/// add up, so that each VM may save next to no tokens.
constexpr retry_budget sparseRetryBudget{.tokens = 1.5F, .capacity = 1.5F};

/// Fills a service's retry budget once, when this process has run for long enough. A VM without requests until then
/// would begin its service with no retry.
void saveWholePart(const upstream_selection &selection, upstream_service &service, instant now)
{
    const bool due =
        selection.fleetKnownSince && maySaveWholePart(selection.retryRule, *selection.fleetKnownSince, now);
    if (due && !service.wholePartSaved) {
        service.wholePartSaved = true;
        service.retryBudget.tokens = service.retryBudget.capacity;
    }
}

/// Takes an instance of the service out of instancesToProbe, so that one request probes it; nothing when there is none
/// that the request may be sent to.
std::optional<instance_id> takeInstanceToProbe(upstream_selection &selection, candidate_set &set,
                                               const choice_request &request)
{
    for (auto place = selection.instancesToProbe.begin(); place != selection.instancesToProbe.end(); ++place) {
        const instance_id instance = *place;
        const candidate *member = findCandidate(set, instance);
        if (member && std::ranges::find(request.excluded, instance) == request.excluded.end()) {
            selection.instancesToProbe.erase(place);
            return instance;
        }
    }
    return std::nullopt;
}

/// Chooses by affinity an instance of a service with a limit for cold instances, as far as this VM's part allows.
std::optional<affinity_choice> chooseWithWarmup(const upstream_selection &selection, upstream_service &service,
                                                const service_warmup &limit, const registry &known,
                                                const choice_request &request, instant now)
{
    const warmup_decision decision = decideWarmup(selection.warmups, limit, service.candidates.members, known, now);
    service.warmups.heldBack += decision.heldBack.empty() ? 0 : 1;
    for (const instance_id instance : decision.due) {
        const bool isOpen = avoidanceStatusOf(selection.avoidedInstances, instance, now) == avoidance_status::Open
                            && std::ranges::find(request.excluded, instance) == request.excluded.end();
        if (isOpen && !request.retry) { // A retry goes to an instance that has answered lately.
            return affinity_choice{instance, false};
        }
    }
    std::vector<instance_id> excluded(request.excluded.begin(), request.excluded.end());
    excluded.insert(excluded.end(), decision.heldBack.begin(), decision.heldBack.end());
    const std::size_t required = excluded.size();
    excluded.insert(excluded.end(), decision.doubtful.begin(), decision.doubtful.end());
    std::optional<affinity_choice> chosen;
    for (const std::size_t count : {excluded.size(), required + decision.restingCount, required}) {
        choice_request allowed = request;
        allowed.excluded = std::span(excluded).first(count);
        chosen = chooseByAffinity(service.candidates, selection.avoidedInstances, selection.self, allowed, now);
        if (chosen) {
            break;
        }
    }
    return chosen;
}

} // namespace

void followRegistry(upstream_selection &selection, const registry &known)
{
    const std::size_t before = selection.services.size();
    selection.services.resize(known.services.size());
    for (std::size_t index = before; index < selection.services.size(); ++index) {
        if (selection.policy == balancing_policy::Affinity) {
            selection.services[index].retryBudget = sparseRetryBudget;
        }
        if (selection.retryRule.slack > 0) { // What the process before this one had spent isn't known.
            selection.services[index].retryBudget = {.tokens = 0, .capacity = 0};
        }
    }
    for (std::size_t index = 0; index < known.services.size(); ++index) {
        if (selection.services[index].registryGeneration != known.services[index].generation) {
            followService(selection, selection.services[index], known.services[index]);
        }
    }
}

std::vector<std::string> followEvacuations(upstream_selection &selection, const registry &known,
                                           const std::vector<evacuation> &evacuations, instant now)
{
    instance_notices &notices = selection.notices;
    const std::vector<std::string> before = notices.evacuatedDataCentres;
    setEvacuations(notices, evacuations, now);
    std::vector<std::string> changed;
    std::ranges::set_symmetric_difference(before, notices.evacuatedDataCentres, std::back_inserter(changed));
    if (!changed.empty()) {
        for (std::size_t index = 0; index < selection.services.size(); ++index) {
            followService(selection, selection.services[index], known.services[index]);
        }
    }
    return changed;
}

bool markLeaving(upstream_selection &selection, const registry &known, instance_id instance, instant now)
{
    if (!recordLeaving(selection.notices, instance, now)) {
        return false;
    }
    const auto service = known.serviceIndexByInstance.find(instance);
    if (service != known.serviceIndexByInstance.end() && service->second < selection.services.size()) {
        followService(selection, selection.services[service->second], known.services[service->second]);
    }
    return true;
}

std::optional<instance_id> selectInstance(upstream_selection &selection, const registry &known,
                                          std::string_view service, const choice_request &request, std::uint64_t random)
{
    upstream_service *selected = findService(selection, known, service);
    if (!selected) {
        return std::nullopt;
    }
    std::optional<instance_id> chosen = takeInstanceToProbe(selection, selected->candidates, request);
    if (!chosen) {
        chosen = chooseInstance(selected->candidates, selection.policy, request, random);
    }
    if (chosen) {
        onRequestSent(*findCandidate(selected->candidates, *chosen), request.work);
    }
    return chosen;
}

std::optional<selected_instance> selectByAffinity(upstream_selection &selection, const registry &known,
                                                  std::string_view service, const choice_request &request, instant now)
{
    upstream_service *selected = findService(selection, known, service);
    if (!selected) {
        return std::nullopt;
    }
    choice_request informed = request;
    informed.loss = lossOf(selected->losses, now);
    informed.lengths = &selected->episodes;
    const bool usesKnown = isUseKnown(selection.fleetLoads, now);
    constexpr double wholePercent = 100;
    informed.floorShare = usesKnown ? floorPercentOf(selection, service) / wholePercent : 0;
    const service_warmup *limit = findWarmupLimit(selection.warmups, service);
    const auto chosen =
        limit ? chooseWithWarmup(selection, *selected, *limit, known, informed, now)
              : chooseByAffinity(selected->candidates, selection.avoidedInstances, selection.self, informed, now);
    if (!chosen) {
        return std::nullopt;
    }
    candidate &member = *findCandidate(selected->candidates, chosen->instance);
    onRequestSent(member, request.work);
    member.lastUsedAt = now;
    const bool cold = limit && isCold(selection.warmups, chosen->instance, now);
    if (limit) {
        recordSent(selection.warmups, chosen->instance, now);
        selected->warmups.sent += cold ? 1 : 0;
    }
    return selected_instance{*chosen, expectedWait(selected->candidates, member, request, now), cold};
}

std::optional<instant> nextWarmupTurn(const upstream_selection &selection, const registry &known,
                                      std::string_view service, instant now)
{
    const service_warmup *limit = findWarmupLimit(selection.warmups, service);
    const candidate_set *candidates = limit ? findCandidates(selection, known, service) : nullptr;
    std::optional<instant> earliest;
    if (!candidates) {
        return earliest;
    }
    for (const candidate &member : candidates->members) {
        const registered_instance *entry = findInstance(known, member.instance);
        if (entry && isCold(selection.warmups, member.instance, now)) {
            const instant turn = nextTurn(selection.warmups, *limit, member.instance, entry->last.dataCentre, now);
            earliest = std::min(earliest.value_or(turn), turn);
        }
    }
    return earliest;
}

bool recordEvidence(upstream_selection &selection, const registry &known, const instance_report &report, instant now)
{
    const auto service = known.serviceIndexByInstance.find(report.instance);
    const bool followed = service != known.serviceIndexByInstance.end() && service->second < selection.services.size();
    episode_lengths *lengths = followed ? &selection.services[service->second].episodes : nullptr;
    return recordInstanceReport(selection.avoidedInstances, report, now, lengths);
}

/// Delay between sending requests and receiving their sum: the way of two reports, from a VM to its hub and from the
/// hub to the other VMs.
constexpr duration loadReportDelay = std::chrono::milliseconds(100);

void applyReportedLoads(upstream_selection &selection, const registry &known, std::span<const instance_load> loads,
                        instant now)
{
    recordSums(selection.fleetLoads, loads, now);
    for (const instance_load &each : loads) {
        const auto service = known.serviceIndexByInstance.find(each.instance);
        if (service == known.serviceIndexByInstance.end() || service->second >= selection.services.size()) {
            continue;
        }
        candidate *member = findCandidate(selection.services[service->second].candidates, each.instance);
        if (member) {
            applyReportedLoad(*member, each, now - each.age - loadReportDelay);
        }
    }
}

void markFull(upstream_selection &selection, const registry &known, std::string_view service, instance_id instance,
              instant now)
{
    upstream_service *selected = findService(selection, known, service);
    candidate *member = selected ? findCandidate(selected->candidates, instance) : nullptr;
    if (member) {
        member->fullUntil = now + fullMarkTime;
    }
}

void scheduleProbe(upstream_selection &selection, instance_id instance, instant now)
{
    constexpr duration probeInterval = std::chrono::seconds(5);
    std::erase_if(selection.probeRequestedAt,
                  [oldest = now - probeInterval](const auto &each) { return each.second <= oldest; });
    if (selection.probeRequestedAt.emplace(instance, now).second) {
        selection.instancesToProbe.push_back(instance);
    }
}

void finishAttempt(upstream_selection &selection, const registry &known, std::string_view service, const outcome &ended,
                   instant now)
{
    upstream_service *selected = findService(selection, known, service);
    if (!selected) {
        return;
    }
    recordOutcome(selected->health, ended, now);
    candidate *member = findCandidate(selected->candidates, ended.instance);
    if (member && ended.reportedLoad) {
        onLoadReported(*member, *ended.reportedLoad, now);
    }
    if (member) {
        updateCandidate(selected->candidates, *member, ended, now);
    }
}

const candidate_set *findCandidates(const upstream_selection &selection, const registry &known,
                                    std::string_view service)
{
    const auto found = known.serviceIndexByName.find(service);
    const bool followed = found != known.serviceIndexByName.end() && found->second < selection.services.size();
    return followed ? &selection.services[found->second].candidates : nullptr;
}

std::uint32_t evacuatedInstancesOf(const upstream_selection &selection, const registry &known, std::string_view service)
{
    const auto found = known.serviceIndexByName.find(service);
    const bool followed = found != known.serviceIndexByName.end() && found->second < selection.services.size();
    return followed ? selection.services[found->second].evacuatedInstances : 0;
}

void recordRequestEnd(upstream_selection &selection, const registry &known, std::string_view service, bool served,
                      instant now)
{
    if (upstream_service *ended = findService(selection, known, service)) {
        recordEnd(ended->losses, served, now);
    }
}

void followFleet(upstream_selection &selection, const fleet_summary &fleet, instant now)
{
    selection.fleet = fleet;
    selection.fleetKnownSince = selection.fleetKnownSince.value_or(now);
    recordFleetSize(selection.fleetSizes, fleet.vms + fleet.missingVms, now);
    if (selection.retryRule.slack == 0) {
        return;
    }
    const std::uint32_t vms = largestFleetSize(selection.fleetSizes, now);
    for (upstream_service &each : selection.services) {
        setCapacity(each.retryBudget, retryCapacity(selection.retryRule, vms, selection.self));
    }
}

void creditRetryBudget(upstream_selection &selection, const registry &known, std::string_view service,
                       std::uint32_t budgetPercent, instant now)
{
    retry_budget *budget = findRetryBudget(selection, known, service);
    if (!budget) {
        return;
    }
    if (selection.retryRule.slack == 0) {
        addRetryTokens(*budget, budgetPercent);
        return;
    }
    const std::uint32_t vms = largestFleetSize(selection.fleetSizes, now);
    setCapacity(*budget, retryCapacity(selection.retryRule, vms, selection.self));
    saveWholePart(selection, *findService(selection, known, service), now);
    addRetryTokens(*budget, earnedPercent(selection.retryRule));
}

retry_budget *findRetryBudget(upstream_selection &selection, const registry &known, std::string_view service)
{
    upstream_service *selected = findService(selection, known, service);
    return selected ? &selected->retryBudget : nullptr;
}

} // namespace guavafront
