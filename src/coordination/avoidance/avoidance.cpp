#include <guavafront/coordination/avoidance/avoidance.h>

#include <algorithm>

namespace guavafront
{

namespace
{

bool noteFailure(avoidance &state, avoidance_record &known, instant now)
{
    const bool wasAvoided = known.avoided;
    const bool duringHold = wasAvoided && now < known.trialNotBefore;
    known.lastFailure = now;
    known.errors = 0;
    if (!duringHold) { // Tries that were under way when the hold began don't lengthen it.
        known.trialNotBefore = now + state.limits.trialDelay;
        known.trialExpiresAt = {};
    }
    known.avoided = true;
    return !duringHold;
}

} // namespace

bool recordInstanceReport(avoidance &state, const instance_report &evidence, instant now)
{
    const auto found = state.instances.find(evidence.instance);
    switch (evidence.kind) {
    case instance_report_kind::Failed:
        return noteFailure(state, state.instances[evidence.instance], now);
    case instance_report_kind::ServerError: {
        avoidance_record &known = state.instances[evidence.instance];
        if (known.errors == 0 || now - known.firstError > state.limits.errorWindow) {
            known.errors = 0;
            known.firstError = now;
        }
        known.lastError = now;
        if (++known.errors >= state.limits.errorThreshold || known.avoided) {
            return noteFailure(state, known, now);
        }
        return true;
    }
    case instance_report_kind::TrialStarted:
        if (found != state.instances.end() && found->second.avoided) {
            found->second.trialExpiresAt = now + state.limits.trialTimeout;
        }
        return true;
    case instance_report_kind::Recovered:
        if (found == state.instances.end() || !found->second.avoided) {
            return false;
        }
        found->second.avoided = false;
        found->second.errors = 0;
        return true;
    }
    return false;
}

avoidance_status avoidanceStatusOf(const avoidance &state, instance_id instance, instant now)
{
    const auto found = state.instances.find(instance);
    if (found == state.instances.end() || !found->second.avoided) {
        return avoidance_status::Open;
    }
    const bool resting = now < found->second.trialNotBefore || now < found->second.trialExpiresAt;
    return resting ? avoidance_status::Avoided : avoidance_status::Trial;
}

instant lastFailureOf(const avoidance &state, instance_id instance)
{
    const auto found = state.instances.find(instance);
    return found == state.instances.end() ? instant{} : found->second.lastFailure;
}

void removeExpiredRecords(avoidance &state, instant now)
{
    std::erase_if(state.instances, [&state, now](const auto &each) {
        const avoidance_record &known = each.second;
        return std::max(known.lastFailure, known.lastError) + state.limits.retention < now;
    });
}

} // namespace guavafront
