#include <guavafront/coordination/entry/entry.h>

#include "coordination/entry/attempt_evidence.h"
#include "coordination/entry/entry_queue_step.h"

#include <algorithm>
#include <cassert>
#include <optional>

namespace guavafront
{

namespace
{

void applyConfiguration(entry &state, std::shared_ptr<const configuration> value)
{
    assert(value);
    if (state.activeConfiguration && value->atRevision < state.activeConfiguration->atRevision) {
        return; // A VM never goes back to an older revision.
    }
    state.activeConfiguration = std::move(value);
    updateHealthyFloors(state.selection, *state.activeConfiguration);
    applyWarmupLimits(state.selection.warmups, *state.activeConfiguration);
    state.routes = buildRouteTable(state.activeConfiguration->routes);
    state.keys = buildKeyTable(state.activeConfiguration->keys);
    state.idempotencyClaims.homeSide.options.retention =
        std::chrono::milliseconds(state.activeConfiguration->defaults.claimRetentionMs);
    state.accounts.clear();
    for (const account &each : state.activeConfiguration->accounts) {
        state.accounts.emplace(each.id, &each);
    }
}

void handle(step_context &context, const request_arrived &event)
{
    acceptRequest(context, event.head);
}

void handle(step_context &context, const attempt_ended &event)
{
    const auto found = context.state.exchanges.find(event.id);
    if (found != context.state.exchanges.end() && found->second.stage == exchange_stage::Running) {
        if (event.result.outcome == attempt_outcome::Answered) {
            found->second.answer = event.answer;
        }
        concludeAttempt(context, found->second, event.result);
    }
}

void handle(step_context &context, const caller_left &event)
{
    const auto found = context.state.exchanges.find(event.id);
    if (found == context.state.exchanges.end()) {
        return;
    }
    exchange &request = found->second;
    request.callerLeft = true;
    // A non-repeatable request runs to its end, so that a resend can be given its outcome.
    if (request.stage != exchange_stage::Running || request.mayBeRepeated) {
        if (request.stage == exchange_stage::Running) {
            context.effects.emplace_back(cancel_attempt{request.id});
            concludeAttempt(context, request, {.outcome = attempt_outcome::Cancelled, .mayHaveBeenSent = true});
        } else {
            refuse(context, request, result_code::DeadlinePassed, execution::NotRun, {});
        }
    }
}

/// What changes for requests with an evacuation or its revocation.
report_evacuation evacuationReport(const entry &state, const std::string &dataCentre)
{
    const configuration &current = *state.activeConfiguration;
    const evacuation *known = findEvacuation(current.evacuations, dataCentre);
    report_evacuation report{.state = known ? *known : evacuation{.dataCentre = dataCentre},
                             .atRevision = current.atRevision};
    const instance_notices &notices = state.selection.notices;
    for (const service_instances &group : state.upstreams.services) {
        const auto isThere = [&](const registered_instance &each) {
            return each.last.dataCentre == dataCentre && isServing(notices, each);
        };
        const auto there = static_cast<std::uint32_t>(std::ranges::count_if(group.instances, isThere));
        const auto isElsewhere = [&](const registered_instance &each) {
            return each.last.dataCentre != dataCentre && isUsable(notices, each);
        };
        report.instances += there;
        report.services += there > 0 && std::ranges::none_of(group.instances, isElsewhere) ? 1 : 0;
    }
    return report;
}

void applyEvacuations(step_context &context)
{
    entry &state = context.state;
    const std::vector<std::string> changed =
        followEvacuations(state.selection, state.upstreams, state.activeConfiguration->evacuations, context.now);
    for (const std::string &dataCentre : changed) {
        if (!isEvacuated(state.selection.notices, dataCentre)) {
            // Its instances had no requests for a while. Later announcements tell which of them are warm.
            markDataCentreCold(state.selection.warmups, state.upstreams, dataCentre, context.now);
        }
        context.effects.emplace_back(evacuationReport(state, dataCentre));
    }
}

void handle(step_context &context, const configuration_changed &event)
{
    applyConfiguration(context.state, event.value);
    applyEvacuations(context);
    applyRateLimits(context);
}

void handle(step_context &context, const freshness_changed &event)
{
    context.state.freshness = event;
}

void handle(step_context &context, const instance_announced &event)
{
    updateUpstreams(context, event);
}

void handle(step_context &context, const instance_left &event)
{
    if (const auto last = deregister(context.state.upstreams, event.name, event.born, context.now)) {
        syncSelection(context);
        context.effects.emplace_back(publish_instance{*last});
    }
}

void handle(step_context &context, const departure_reported &event)
{
    updateUpstreams(context, event);
}

void handle(step_context &context, const instance_reported &event)
{
    updateUpstreams(context, event);
}

void handle(step_context &context, const instance_withdrawn &event)
{
    updateUpstreams(context, event);
}

void handle(step_context &context, const vm_reachability_changed &event)
{
    updateUpstreams(context, event);
}

void handle(step_context &context, const fleet_changed &event)
{
    followFleet(context.state.selection, event.view, context.now);
    updateEntryVms(context.state.selection.warmups, event.entries);
    context.state.rateLedger.spenders = std::max(event.view.vms, 1U);
}

void handle(step_context &context, const health_reported &event)
{
    putReport(context.state.selection.evidence, event.reporter, event.report);
}

void handle(step_context &context, const health_report_lost &event)
{
    removeReport(context.state.selection.evidence, event.reporter);
}

void handle(step_context &context, const evidence_received &event)
{
    upstream_selection &selection = context.state.selection;
    if (event.evidence.kind == instance_report_kind::Leaving) {
        if (markLeaving(selection, context.state.upstreams, event.evidence.instance, context.now)) {
            context.effects.emplace_back(drop_connections{event.evidence.instance});
        }
        return;
    }
    recordEvidence(selection, context.state.upstreams, event.evidence, context.now);
}

void handle(step_context &context, const hub_loads_received &event)
{
    applyReportedLoads(context.state.selection, context.state.upstreams, event.loads, context.now);
    context.state.selection.warmups.lastNewsAt = context.now;
    const std::vector<route> &routes = context.state.activeConfiguration->routes;
    for (const shared_estimate &each : event.estimates) {
        const auto found = std::ranges::find(routes, each.route, &route::id);
        if (found != routes.end()) {
            applyShared(context.state.work, found->service, each, context.now);
        }
    }
}

void handle(step_context &context, const ledger_owners_changed &event)
{
    context.state.rateLedger.owners = event.owners;
}

void handle(step_context &context, const ledger_statement_received &event)
{
    applyLedgerStatement(context, event.statement);
}

void handle(step_context &context, const known_instances_requested &event)
{
    sendKnownInstances(context, event);
}

void handle(step_context &context, const warmups_reported &event)
{
    updateWarmups(context, event);
}

void handle(step_context &context, const death_reported &event)
{
    recordDeath(context.state.requestQuarantine, event.death, context.now);
}

void handle(step_context &context, const request_released &event)
{
    if (const auto released = release(context.state.requestQuarantine, event.request, context.now)) {
        context.effects.emplace_back(publish_release{event.request, released->forgiven});
    }
}

void handle(step_context &context, const release_reported &event)
{
    recordRelease(context.state.requestQuarantine, event.request, event.forgiven, context.now);
}

void handle(step_context &context, const claim_message_received &event)
{
    updateClaims(context, event);
}

void handle(step_context &context, const claims_view_changed &event)
{
    updateClaims(context, event);
}

void handle(step_context &context, const publications_lost & /*event*/)
{
    republish(context);
}

void handle(step_context &context, const stop_planned & /*event*/)
{
    updateRateLimiter(context, limiter_leaving{});
}

void handle(step_context &context, const stop_requested & /*event*/)
{
    context.state.stopping = true;
    updateRateLimiter(context, limiter_stopping{});
}

void handle(step_context &context, const intake_closed &event)
{
    context.state.stopping = true;
    context.state.runsEndAt = event.runsEndAt;
}

void handle(step_context &context, const runs_ended & /*event*/)
{
    endAllRequests(context);
}

void handle(step_context &context, const limit_members_changed &event)
{
    updateRateLimiter(context, event);
}

void handle(step_context &context, const limit_message_received &event)
{
    updateRateLimiter(context, event);
}

void handle(step_context &context, const time_passed & /*event*/)
{
    // The claims come before the deadlines of requests, since they know more exactly why a claim was not won.
    updateClaims(context, claims_time_passed{});
    expireRequests(context);
    updateRateLimiter(context, limit_tick{});
    sendLedgerReports(context);
    reportLoads(context);
    endTokenWaits(context);
    expireInstances(context);
    requestKnownInstances(context);
    updateUpstreamHealth(context);
}

instant nextWake(const entry &state)
{
    instant next = std::min(nextRateLimitWake(state), nextExpiry(state.upstreams).value_or(instant::max()));
    next = std::min(next, nextLoadReport(state.ownLoads));
    if (state.selection.policy == balancing_policy::Affinity) {
        next = std::min(next, nextQueryAt(state.catchUp));
    }
    for (const auto &[service, admission] : state.admissions.byService) {
        next = std::min(next, admission.nextTryAt);
    }
    if (!state.upstreams.services.empty()) {
        next = std::min(next, state.nextHealthUpdate);
    }
    if (const std::optional<instant> claimTime = nextWake(state.idempotencyClaims)) {
        next = std::min(next, *claimTime);
    }
    return state.deadlines.empty() ? next : std::min(next, state.deadlines.begin()->first);
}

/// Updates the time since which a configuration newer than the active one is known to be accepted, and the time up to
/// which none was.
void trackAcceptedRevision(entry &state, instant now)
{
    state.startedAt = state.startedAt.value_or(now);
    state.selection.warmups.startedAt = state.startedAt;
    if (state.freshness.accepted > state.activeConfiguration->atRevision) {
        state.outdatedSince = state.outdatedSince.value_or(now);
        return;
    }
    state.outdatedSince.reset();
    if (state.freshness.confirmedAt > state.keysConfirmedAt.value_or(instant{})) {
        state.keysConfirmedAt = state.freshness.confirmedAt;
        state.keysConfirmedBy = state.freshness;
    }
}

} // namespace

bool isConfigurationOutdated(const entry &state, instant now)
{
    constexpr duration applyTime = std::chrono::milliseconds(1'500); // By then a change is applied on every VM.
    // After this time without confirmation the control VMs are taken as unreachable, and the stored configuration
    // serves.
    constexpr duration confirmTime = std::chrono::seconds(10);
    if (!state.settings.strictConfiguration) {
        return false;
    }
    const bool confirmed = state.freshness.confirmedAt != instant{};
    const bool starting = !state.startedAt || now < *state.startedAt + confirmTime;
    return (!confirmed && starting) || (state.outdatedSince && now > *state.outdatedSince + applyTime);
}

entry makeEntry(entry_identity identity, const entry_policy &settings)
{
    entry state;
    state.settings = settings;
    state.upstreams.self = identity.self;
    state.selection.self = identity.self;
    state.selection.warmups.self = identity.self;
    state.selection.warmups.bounds = settings.warmup;
    state.selection.dataCentre = identity.dataCentre;
    state.selection.policy = settings.balancing;
    state.selection.retryRule = settings.retries;
    state.idempotencyClaims = makeClaims(identity.self, identity.life, {}, {});
    state.identity = std::move(identity);
    applyConfiguration(state, std::make_shared<const configuration>());
    return state;
}

void step(entry &state, const entry_event &event, instant now, std::mt19937_64 &random,
          std::vector<entry_effect> &effects)
{
    step_context context{.state = state, .now = now, .random = random, .effects = effects};
    startRateLimiter(context);
    std::visit([&context](const auto &each) { handle(context, each); }, event);
    if (!std::holds_alternative<request_arrived>(event) && !std::holds_alternative<attempt_ended>(event)) {
        checkAllAdmissions(context);
    }
    trackAcceptedRevision(state, now);
    drainQueues(context);
    effects.emplace_back(wake_at{nextWake(state)});
}

} // namespace guavafront
