#include "coordination/entry/entry_step.h"
#include "coordination/entry/try_evidence.h"

namespace guavafront
{

void updateUpstreams(step_context &context, const instance_announced &event)
{
    const registry_change change = announce(context.state.upstreams, event.news, context.now);
    followUpstreams(context);
    switch (change) {
    case registry_change::Changed:
        context.effects.emplace_back(publish_instance{event.news});
        break;
    case registry_change::None:
    case registry_change::Renewed:
    case registry_change::Learned:
    case registry_change::HandedOver:
        break;
    }
}

void updateUpstreams(step_context &context, const instance_learned &event)
{
    if (learn(context.state.upstreams, event.hearer, event.news, context.now) == registry_change::HandedOver) {
        context.effects.emplace_back(withdraw_instance{event.news.instance});
    }
    followUpstreams(context);
}

void updateUpstreams(step_context &context, const instance_forgotten &event)
{
    forget(context.state.upstreams, event.hearer, event.instance);
    followUpstreams(context);
}

void updateUpstreams(step_context &context, const hearer_changed &event)
{
    if (event.reachable) {
        onRegistrarReachable(context.state.upstreams, event.hearer);
    } else {
        onRegistrarLost(context.state.upstreams, event.hearer, context.now);
    }
}

void askForInstances(step_context &context)
{
    entry &state = context.state;
    if (state.selection.policy == balancing_policy::Affinity && takeDueQuery(state.questions, context.now)) {
        context.effects.emplace_back(ask_for_instances{registryFingerprint(state.upstreams)});
    }
}

void tellInstances(step_context &context, const instances_asked &event)
{
    if (auto told = instancesForCatchUp(context.state.upstreams, event.fingerprint); !told.empty()) {
        context.effects.emplace_back(tell_instances{event.from, std::move(told)});
    }
}

void publishAgain(step_context &context)
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
    for (const instance_id instance : expire(context.state.upstreams, context.now)) {
        context.effects.emplace_back(withdraw_instance{instance});
    }
    followUpstreams(context);
}

} // namespace guavafront
