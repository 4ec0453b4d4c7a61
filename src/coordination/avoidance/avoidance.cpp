#include <guavafront/coordination/avoidance/avoidance.h>

#include <algorithm>

namespace guavafront
{

namespace
{

/// Whether the instance fails again too soon after its recovery for that to have been one.
bool isRelapse(const avoidance_record &record, instant now)
{
    return record.recoveredAt != instant{} && now - record.recoveredAt < episode_parameters{}.relapseTime;
}

/// Starts or continues the instance's failure episode.
void beginEpisode(avoidance_record &record, instance_id instance, instant now, episode_lengths *lengths)
{
    if (record.avoided) {
        return;
    }
    if (!isRelapse(record, now)) {
        record.episodeStartedAt = now;
    } else if (lengths) {
        removeEpisode(*lengths, instance, record.recoveredAt);
    }
}

/// Ends the avoidance of an instance.
void recordRecovery(avoidance_record &record, instance_id instance, instant now, episode_lengths *lengths)
{
    record.avoided = false;
    record.errors = 0;
    record.recoveredAt = now;
    if (record.episodeStartedAt && lengths) {
        recordEpisode(*lengths, {.instance = instance,
                                 .atLeast = record.lastFailure - *record.episodeStartedAt,
                                 .atMost = now - *record.episodeStartedAt,
                                 .endedAt = now});
    }
}

/// Starts or continues the avoidance of an instance. Returns whether the failure is news: not within the delay before
/// the next trial.
bool recordFailure(avoidance &state, avoidance_record &record, instant now)
{
    const bool wasAvoided = record.avoided;
    const bool duringDelay = wasAvoided && now < record.trialNotBefore;
    record.lastFailure = now;
    record.errors = 0;
    if (!duringDelay) { // Attempts that were under way at the first failure don't lengthen the delay.
        record.trialNotBefore = now + state.limits.trialDelay;
        record.trialExpiresAt = {};
    }
    record.avoided = true;
    return !duringDelay;
}

} // namespace

bool recordInstanceReport(avoidance &state, const instance_report &report, instant now, episode_lengths *lengths)
{
    const auto found = state.instances.find(report.instance);
    switch (report.kind) {
    case instance_report_kind::Failed:
        beginEpisode(state.instances[report.instance], report.instance, now, lengths);
        return recordFailure(state, state.instances[report.instance], now);
    case instance_report_kind::ServerError: {
        avoidance_record &record = state.instances[report.instance];
        if (record.errors == 0 || now - record.firstError > state.limits.errorWindow) {
            record.errors = 0;
            record.firstError = now;
        }
        record.lastError = now;
        if (++record.errors >= state.limits.errorThreshold || record.avoided) {
            beginEpisode(record, report.instance, now, lengths);
            return recordFailure(state, record, now);
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
        recordRecovery(found->second, report.instance, now, lengths);
        return true;
    case instance_report_kind::Leaving:
        break;
    }
    return false;
}

void recordOwnFailure(avoidance &state, instance_id instance, instant now)
{
    avoidance_record &record = state.instances[instance];
    if (!record.avoided) {
        record.episodeStartedAt.reset();
    }
    recordFailure(state, record, now);
}

avoidance_status avoidanceStatusOf(const avoidance &state, instance_id instance, instant now)
{
    const auto found = state.instances.find(instance);
    if (found == state.instances.end() || !found->second.avoided) {
        return avoidance_status::Open;
    }
    const bool trialBarred = now < found->second.trialNotBefore || now < found->second.trialExpiresAt;
    return trialBarred ? avoidance_status::Avoided : avoidance_status::Trial;
}

instant trialAllowedSince(const avoidance &state, instance_id instance)
{
    const auto found = state.instances.find(instance);
    return found == state.instances.end() ? instant{}
                                          : std::max(found->second.trialNotBefore, found->second.trialExpiresAt);
}

instant lastFailureOf(const avoidance &state, instance_id instance)
{
    const auto found = state.instances.find(instance);
    return found == state.instances.end() ? instant{} : found->second.lastFailure;
}

duration episodeAge(const avoidance &state, instance_id instance)
{
    const auto found = state.instances.find(instance);
    if (found == state.instances.end() || !found->second.episodeStartedAt) {
        return duration::zero();
    }
    return found->second.lastFailure - *found->second.episodeStartedAt;
}

bool failedRecently(const avoidance &state, instance_id instance, instant now)
{
    const auto found = state.instances.find(instance);
    return found != state.instances.end() && found->second.lastFailure != instant{}
           && now - found->second.lastFailure < state.limits.doubtTime;
}

void removeExpiredRecords(avoidance &state, instant now)
{
    std::erase_if(state.instances, [&state, now](const auto &each) {
        const avoidance_record &record = each.second;
        return std::max(record.lastFailure, record.lastError) + state.limits.retention < now;
    });
}

} // namespace guavafront
