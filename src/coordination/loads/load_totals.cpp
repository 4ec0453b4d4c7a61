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

/// Sum of the numbers that VMs reported for an instance.
instance_load sumOf(instance_id instance, const std::unordered_map<vm_id, load_totals::vm_load> &loadsByVm)
{
    instance_load sum{.instance = instance};
    std::uint32_t withWork = 0;
    for (const auto &[reporter, load] : loadsByVm) {
        sum.requests += load.requests;
        sum.work += load.work;
        withWork += load.work > duration::zero() ? load.requests : 0;
    }
    if (withWork > 0) {
        sum.work = sum.work * sum.requests / withWork;
    }
    return sum;
}

} // namespace

void recordLoads(load_totals &totals, vm_id reporter, std::span<const instance_load> loads, instant now)
{
    for (const instance_load &each : loads) {
        auto &loadsByVm = totals.loadsByInstance[each.instance];
        load_totals::vm_load &load = loadsByVm[reporter];
        // A message without work precedes the one with it; the work known before stands until then.
        const duration work = each.work == duration::zero() ? load.work : each.work;
        if (load.requests != each.requests || load.work != work) {
            totals.changedInstances.insert(each.instance);
        }
        load = {.requests = each.requests, .work = work, .reportedAt = now};
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
        changed.push_back(sumOf(instance, totals.loadsByInstance[instance]));
    }
    totals.changedInstances.clear();
    std::erase_if(totals.loadsByInstance, [](const auto &each) { return each.second.empty(); });
    return changed;
}

} // namespace guavafront
