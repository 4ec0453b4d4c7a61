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
    known.errors = 0;
    if (!duringHold) { // Tries that were under way when the hold began don't lengthen it.
        known.heldUntil = now + state.limits.hold;
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
        if (known.errors == 0 || now - known.firstError > state.limits.errorMemory) {
            known.errors = 0;
            known.firstError = now;
        }
        known.lastError = now;
        if (++known.errors >= state.limits.errorsInMemory || known.avoided) {
            return noteFailure(state, known, now);
        }
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
        found->second.errors = 0;
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
