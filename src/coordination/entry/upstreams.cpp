#include "coordination/entry/attempt_evidence.h"
#include "coordination/entry/entry_step.h"

#include <algorithm>
#include <utility>

namespace guavafront
{

namespace
{

/// Records the warm-up time of an instance that announced itself here, and tells all VMs while it is cold. It is told
/// with each announcement, so that a lost message matters for the time between two announcements at most, and before
/// the announcement, so that no VM knows the instance without its warm-up.
void publishWarmup(step_context &context, const announcement &received)
{
    const warmup_notice notice{received.instance, received.warmupLeft};
    recordWarmup(context.state.selection.warmups, notice, context.now);
    if (notice.left > duration::zero() && received.state < instance_state::Draining) {
        context.effects.emplace_back(send_warmups{std::nullopt, {notice}});
    }
}

std::optional<held_instance> heldInstance(const registry &state, instance_id instance)
{
    const registered_instance *known = findInstance(state, instance);
    return known ? std::optional(held_instance{known->last.state, known->last.sequence, known->registrar})
                 : std::nullopt;
}

/// Reports an instance that takes requests after news of it and took none before, and news that is older than the
/// instance's departure and would have added it.
void reportNews(step_context &context, const instance_reported &event, const std::optional<held_instance> &before)
{
    const registered_instance *known = findInstance(context.state.upstreams, event.announced.instance);
    const bool served = before && before->state == instance_state::Serving;
    const bool serves = known && known->last.state == instance_state::Serving;
    const bool outdated = !before && known && !serves && event.announced.state == instance_state::Serving;
    if ((serves && !served) || outdated) {
        context.effects.emplace_back(
            report_instance{.name = event.announced.name,
                            .processStartMs = event.announced.processStartMs,
                            .step = outdated ? registry_step::Outdated : registry_step::Serving,
                            .registrar = event.registrar,
                            .sequence = event.announced.sequence,
                            .path = event.path,
                            .from = event.from,
                            .before = before});
    }
}

/// Reports an instance that was removed.
void reportRemoved(step_context &context, const registered_instance &removed, registry_step step)
{
    context.effects.emplace_back(
        report_instance{.name = removed.last.name,
                        .processStartMs = removed.last.processStartMs,
                        .step = step,
                        .registrar = removed.registrar,
                        .before = held_instance{removed.last.state, removed.last.sequence, removed.registrar}});
}

} // namespace

void updateUpstreams(step_context &context, const instance_announced &event)
{
    const registry_change change = announce(context.state.upstreams, event.announced, context.now);
    syncSelection(context);
    if (change == registry_change::None) {
        return;
    }
    const announcement &held = findInstance(context.state.upstreams, event.announced.instance)->last;
    publishWarmup(context, held);
    if (change == registry_change::Changed) {
        context.effects.emplace_back(publish_instance{held});
    }
}

void updateUpstreams(step_context &context, const instance_reported &event)
{
    context.state.selection.warmups.lastNewsAt = context.now;
    const std::optional<held_instance> before = heldInstance(context.state.upstreams, event.announced.instance);
    const registry_change change = learn(context.state.upstreams, event.registrar, event.announced, context.now);
    if (change == registry_change::HandedOver) {
        context.effects.emplace_back(withdraw_instance{event.announced.instance});
    } else if (change == registry_change::Changed) {
        const announcement &held = findInstance(context.state.upstreams, event.announced.instance)->last;
        context.effects.emplace_back(publish_instance{held});
    }
    reportNews(context, event, before);
    syncSelection(context);
}

void updateUpstreams(step_context &context, const departure_reported &event)
{
    const registered_instance *known = findNamed(context.state.upstreams, event.what.name, event.what.processStartMs);
    std::optional<held_instance> before =
        known ? heldInstance(context.state.upstreams, known->last.instance) : std::nullopt;
    const departure_result result = depart(context.state.upstreams, event.what, context.now);
    if (result.toPublish) {
        context.effects.emplace_back(publish_instance{*result.toPublish});
    }
    if (result.changed) {
        syncSelection(context);
    }
    context.effects.emplace_back(report_departure{event.what, event.from, before, result.changed});
}

void updateUpstreams(step_context &context, const instance_withdrawn &event)
{
    const registered_instance *known = findInstance(context.state.upstreams, event.instance);
    const std::optional<registered_instance> before = known ? std::optional(*known) : std::nullopt;
    if (forget(context.state.upstreams, event.registrar, event.instance) != registry_change::None) {
        reportRemoved(context, *before, registry_step::Withdrawn);
    }
    syncSelection(context);
}

void updateUpstreams(step_context &context, const vm_reachability_changed &event)
{
    if (event.reachable) {
        onRegistrarReachable(context.state.upstreams, event.vm);
    } else {
        onRegistrarLost(context.state.upstreams, event.vm, context.now);
    }
}

void requestKnownInstances(step_context &context)
{
    entry &state = context.state;
    if (state.selection.policy == balancing_policy::Affinity && takeDueQuery(state.catchUp, context.now)) {
        context.effects.emplace_back(request_known_instances{registryFingerprint(state.upstreams)});
    }
}

void updateWarmups(step_context &context, const warmups_reported &event)
{
    warmup &warmups = context.state.selection.warmups;
    warmups.lastNewsAt = context.now;
    for (const warmup_notice &each : event.notices) {
        recordWarmup(warmups, each, context.now);
    }
}

void reportWarmups(step_context &context)
{
    upstream_selection &selection = context.state.selection;
    removeOldWarmups(selection.warmups, context.now);
    for (std::size_t index = 0; index < selection.services.size(); ++index) {
        const service_instances &group = context.state.upstreams.services[index];
        upstream_service &service = selection.services[index];
        warmup_counts counts = std::exchange(service.warmups, {});
        if (findWarmupLimit(selection.warmups, group.service)) {
            counts.cold = static_cast<std::uint32_t>(
                std::ranges::count_if(group.instances, [&selection, &context](const registered_instance &each) {
                    return isCold(selection.warmups, each.last.instance, context.now);
                }));
        }
        const bool isNews = counts.cold != std::exchange(service.shownCold, counts.cold);
        if (isNews || counts.sent + counts.heldBack > 0) {
            context.effects.emplace_back(report_warmups{group.service, counts});
        }
    }
}

void sendKnownInstances(step_context &context, const known_instances_requested &event)
{
    auto cold = coldInstances(context.state.selection.warmups, context.now);
    if (!cold.empty()) {
        context.effects.emplace_back(send_warmups{event.from, std::move(cold)});
    }
    if (auto instances = instancesForCatchUp(context.state.upstreams, event.fingerprint); !instances.empty()) {
        context.effects.emplace_back(send_known_instances{event.from, std::move(instances)});
    }
}

void republish(step_context &context)
{
    const entry &state = context.state;
    for (const service_instances &service : state.upstreams.services) {
        for (const registered_instance &each : service.instances) {
            if (each.registrar == state.identity.self) {
                context.effects.emplace_back(publish_instance{each.last});
            }
        }
    }
    context.effects.emplace_back(publish_claims_member{
        {.id = state.identity.self, .life = state.identity.life, .dataCentre = state.identity.dataCentre}});
    const auto own = state.selection.evidence.reports.find(state.identity.self);
    if (own != state.selection.evidence.reports.end()) {
        context.effects.emplace_back(publish_health{own->second});
    }
}

void expireInstances(step_context &context)
{
    for (const registered_instance &each : expire(context.state.upstreams, context.now)) {
        reportRemoved(context, each, registry_step::LeaseEnded);
        if (each.registrar == context.state.identity.self) {
            context.effects.emplace_back(withdraw_instance{each.last.instance});
        }
    }
    syncSelection(context);
}

} // namespace guavafront
