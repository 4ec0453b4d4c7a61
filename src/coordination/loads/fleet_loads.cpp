#include <guavafront/coordination/loads/fleet_loads.h>

namespace guavafront
{

void recordSums(fleet_loads &state, std::span<const instance_load> sums, instant now)
{
    state.firstHeardAt = state.firstHeardAt.value_or(now);
    state.lastHeardAt = now;
    state.dueSince.reset();
    for (const instance_load &each : sums) {
        if (each.requests == 0) {
            state.requestsByInstance.erase(each.instance);
        } else {
            state.requestsByInstance[each.instance] = each.requests;
        }
    }
}

void expectSums(fleet_loads &state, instant now)
{
    state.dueSince = state.dueSince.value_or(now);
}

bool areSumsCurrent(const fleet_loads &state, instant now)
{
    const bool learned = state.firstHeardAt && now - *state.firstHeardAt >= state.learningTime;
    return learned && (!state.dueSince || now - *state.dueSince < state.validity);
}

bool isUseKnown(const fleet_loads &state, instant now)
{
    return areSumsCurrent(state, now) && now - state.lastHeardAt < state.useValidity;
}

std::uint32_t requestsAt(const fleet_loads &state, instance_id instance)
{
    const auto found = state.requestsByInstance.find(instance);
    return found == state.requestsByInstance.end() ? 0 : found->second;
}

} // namespace guavafront
