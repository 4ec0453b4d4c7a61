#include <guavafront/coordination/loads/load_totals.h>

namespace guavafront
{

namespace
{

/// Drops the numbers that VMs no longer repeat, which changes the sums of their instances.
void removeExpired(load_totals &totals, instant now)
{
    for (auto &[instance, loadsByVm] : totals.loadsByInstance) {
        const auto isExpired = [&totals, now](const auto &load) {
            return load.second.reportedAt + totals.retention < now;
        };
        if (std::erase_if(loadsByVm, isExpired) > 0) {
            totals.changedInstances.insert(instance);
        }
    }
}

} // namespace

void recordLoads(load_totals &totals, vm_id reporter, std::span<const instance_load> loads, instant now)
{
    for (const instance_load &each : loads) {
        auto &loadsByVm = totals.loadsByInstance[each.instance];
        load_totals::vm_load &load = loadsByVm[reporter];
        if (load.requests != each.requests) {
            totals.changedInstances.insert(each.instance);
        }
        load = {.requests = each.requests, .reportedAt = now};
        if (each.requests == 0) {
            loadsByVm.erase(reporter);
        }
    }
}

std::vector<instance_load> takeChangedLoads(load_totals &totals, instant now)
{
    removeExpired(totals, now);
    std::vector<instance_load> changed;
    for (const instance_id instance : totals.changedInstances) {
        std::uint32_t requests = 0;
        for (const auto &[reporter, load] : totals.loadsByInstance[instance]) {
            requests += load.requests;
        }
        changed.push_back({.instance = instance, .requests = requests, .age = {}});
    }
    totals.changedInstances.clear();
    std::erase_if(totals.loadsByInstance, [](const auto &each) { return each.second.empty(); });
    return changed;
}

} // namespace guavafront
