#include <guavafront/coordination/avoidance/avoidance.h>

#include <algorithm>

namespace guavafront
{

namespace
{

bool noteFailure(avoidance &state, avoided_instance &known, instant now)
{
    const bool wasAvoided = known.avoided;
    const bool duringHold = wasAvoided && now < known.heldUntil;
    known.lastFailure = now;
    known.lastError = {};
    if (!duringHold) { // Tries that were under way when the hold began don't lengthen it.
        known.heldUntil = now + (wasAvoided ? state.limits.nextHold : state.limits.firstHold);
        known.trialUntil = {};
    }
    known.avoided = true;
    return !duringHold;
}

} // namespace

bool noteSign(avoidance &state, const instance_evidence &evidence, instant now)
{
    const auto found = state.instances.find(evidence.instance);
    switch (evidence.sign) {
    case instance_sign::Failed:
        return noteFailure(state, state.instances[evidence.instance], now);
    case instance_sign::Erred: {
        avoided_instance &known = state.instances[evidence.instance];
        const bool second = known.lastError != instant{} && now - known.lastError < state.limits.errorMemory;
        if (second || known.avoided) {
            return noteFailure(state, known, now);
        }
        known.lastError = now;
        return true;
    }
    case instance_sign::TrialBegan:
        if (found != state.instances.end() && found->second.avoided) {
            found->second.trialUntil = now + state.limits.trialLimit;
        }
        return true;
    case instance_sign::Sound:
        if (found == state.instances.end() || !found->second.avoided) {
            return false;
        }
        found->second.avoided = false;
        found->second.lastError = {};
        return true;
    }
    return false;
}

avoidance_standing standingOf(const avoidance &state, instance_id instance, instant now)
{
    const auto found = state.instances.find(instance);
    if (found == state.instances.end() || !found->second.avoided) {
        return avoidance_standing::Open;
    }
    const bool resting = now < found->second.heldUntil || now < found->second.trialUntil;
    return resting ? avoidance_standing::Avoided : avoidance_standing::Trial;
}

instant lastTrouble(const avoidance &state, instance_id instance)
{
    const auto found = state.instances.find(instance);
    return found == state.instances.end() ? instant{} : found->second.lastFailure;
}

void forgetQuiet(avoidance &state, instant now)
{
    std::erase_if(state.instances, [&state, now](const auto &each) {
        const avoided_instance &known = each.second;
        return std::max(known.lastFailure, known.lastError) + state.limits.memory < now;
    });
}

} // namespace guavafront
