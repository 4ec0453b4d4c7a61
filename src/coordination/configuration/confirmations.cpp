#include <guavafront/coordination/configuration/confirmations.h>

#include <algorithm>

namespace guavafront
{

namespace
{

/// What is known about a VM so far, with the data centre from the new view.
entry_confirmation carryOver(confirmations &self, const entry_vm &vm)
{
    const auto found = self.entries.find(vm.id);
    entry_confirmation known = found == self.entries.end() ? entry_confirmation{} : std::move(found->second);
    known.dataCentre = vm.dataCentre;
    return known;
}

/// Whether a VM may still serve callers: it is live, or was declared dead less than the grace period ago.
bool mayStillServe(const entry_confirmation &vm, duration gracePeriod, instant now)
{
    return !vm.declaredDeadAt || now < *vm.declaredDeadAt + gracePeriod;
}

bool hasConfirmed(const entry_confirmation &vm, revision wanted)
{
    return vm.hasReported && vm.inForce >= wanted;
}

} // namespace

void noteEntryVms(confirmations &self, const entry_vm_view &view, instant now)
{
    std::map<vm_id, entry_confirmation> entries;
    for (const entry_vm &vm : view.live) {
        entry_confirmation known = carryOver(self, vm);
        known.declaredDeadAt.reset();
        entries.emplace(vm.id, std::move(known));
    }
    for (const entry_vm &vm : view.declaredDead) {
        entry_confirmation known = carryOver(self, vm);
        known.declaredDeadAt = known.declaredDeadAt.value_or(now);
        entries.emplace(vm.id, std::move(known));
    }
    self.entries = std::move(entries);
    self.seesMajority = view.seesMajority;
}

void noteReport(confirmations &self, vm_id from, const revision_report &report)
{
    const auto found = self.entries.find(from);
    if (found == self.entries.end()) {
        return;
    }
    entry_confirmation &vm = found->second;
    vm.name = report.vmName;
    vm.inForce = std::max(vm.inForce, report.inForce);
    vm.hasReported = true;
}

confirmation_status statusOf(const confirmations &self, revision wanted, duration gracePeriod, instant now)
{
    confirmation_status status{.seesMajority = self.seesMajority};
    for (const auto &[id, vm] : self.entries) {
        if (!mayStillServe(vm, gracePeriod, now)) {
            continue;
        }
        ++status.requiredCount;
        if (!hasConfirmed(vm, wanted)) {
            status.missing.push_back({id, vm.name, vm.dataCentre, vm.declaredDeadAt.has_value()});
        }
    }
    status.inForce = status.seesMajority && status.missing.empty();
    return status;
}

std::vector<vm_id> takeVmsToQuery(confirmations &self, revision wanted, instant now)
{
    std::vector<vm_id> chosen;
    for (auto &[id, vm] : self.entries) {
        const bool askedLately = vm.lastQueriedAt && now < *vm.lastQueriedAt + self.queryInterval;
        if (!hasConfirmed(vm, wanted) && !askedLately) {
            vm.lastQueriedAt = now;
            chosen.push_back(id);
        }
    }
    return chosen;
}

} // namespace guavafront
