#include <guavafront/coordination/notices/instance_notices.h>

#include <algorithm>
#include <utility>

namespace guavafront
{

namespace
{

/// Time after which an instance that is no longer announced is forgotten. Late announcements arrive well before.
constexpr duration unlistedRetention = std::chrono::minutes(10);

} // namespace

bool recordLeaving(instance_notices &notices, instance_id instance, instant now)
{
    instance_notice &notice = notices.byInstance[instance];
    notice.listedAt = now;
    return !std::exchange(notice.leaving, true);
}

bool recordPause(instance_notices &notices, instance_id instance, duration pause, instant now)
{
    instance_notice &notice = notices.byInstance[instance];
    notice.listedAt = now;
    const bool wasPaused = now < notice.pausedUntil;
    notice.pausedUntil = std::max(notice.pausedUntil, now + pause);
    return !wasPaused && now < notice.pausedUntil;
}

bool hasSaidLeaving(const instance_notices &notices, instance_id instance)
{
    const auto found = notices.byInstance.find(instance);
    return found != notices.byInstance.end() && found->second.leaving;
}

instant pausedUntil(const instance_notices &notices, instance_id instance)
{
    const auto found = notices.byInstance.find(instance);
    return found == notices.byInstance.end() ? instant{} : found->second.pausedUntil;
}

void setEvacuations(instance_notices &notices, const std::vector<evacuation> &evacuations, instant now)
{
    std::vector<reopened_data_centre> reopened;
    for (const evacuation &each : evacuations) {
        if (!each.inForce) {
            const auto known =
                std::ranges::find(notices.reopenedDataCentres, each.dataCentre, &reopened_data_centre::dataCentre);
            const bool isKnown = known != notices.reopenedDataCentres.end() && known->endedMs == each.endedMs;
            reopened.push_back({each.dataCentre, each.endedMs, isKnown ? known->since : now});
        }
    }
    notices.reopenedDataCentres = std::move(reopened);
    notices.evacuatedDataCentres = evacuatedDataCentres(evacuations);
}

bool isEvacuated(const instance_notices &notices, std::string_view dataCentre)
{
    return std::ranges::binary_search(notices.evacuatedDataCentres, dataCentre);
}

std::optional<instant> reopenedAt(const instance_notices &notices, std::string_view dataCentre)
{
    const auto found = std::ranges::find(notices.reopenedDataCentres, dataCentre, &reopened_data_centre::dataCentre);
    return found == notices.reopenedDataCentres.end() ? std::nullopt : std::optional(found->since);
}

bool isServing(const instance_notices &notices, const registered_instance &instance)
{
    return instance.last.state == instance_state::Serving && !hasSaidLeaving(notices, instance.last.instance);
}

bool isUsable(const instance_notices &notices, const registered_instance &instance)
{
    return isServing(notices, instance) && !isEvacuated(notices, instance.last.dataCentre);
}

bool isAvailable(const instance_notices &notices, const registered_instance &instance, instant now)
{
    return isUsable(notices, instance) && pausedUntil(notices, instance.last.instance) <= now;
}

void appendPaused(const instance_notices &notices, instant now, std::vector<instance_id> &to)
{
    for (const auto &[instance, notice] : notices.byInstance) {
        if (now < notice.pausedUntil) {
            to.push_back(instance);
        }
    }
}

void removeOldNotices(instance_notices &notices, const registry &known, instant now)
{
    for (auto &[instance, notice] : notices.byInstance) {
        const bool needed = findInstance(known, instance) && (notice.leaving || now < notice.pausedUntil);
        notice.listedAt = needed ? now : notice.listedAt;
    }
    std::erase_if(notices.byInstance,
                  [now](const auto &each) { return each.second.listedAt + unlistedRetention < now; });
}

} // namespace guavafront
