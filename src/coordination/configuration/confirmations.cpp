#include <guavafront/coordination/configuration/confirmations.h>

#include <algorithm>

namespace guavafront
{

namespace
{

entry_confirmation takeOver(confirmations &self, const entry_vm &vm)
{
    const auto found = self.entries.find(vm.id);
    entry_confirmation known = found == self.entries.end() ? entry_confirmation{} : std::move(found->second);
    known.dataCentre = vm.dataCentre;
    return known;
}

/// Whether a VM may still serve callers.
bool counts(const entry_confirmation &vm, duration grace, instant now)
{
    return !vm.unheardSince || now < *vm.unheardSince + grace;
}

bool confirms(const entry_confirmation &vm, revision wanted)
{
    return vm.reported && vm.inForce >= wanted;
}

} // namespace

void noteEntryVms(confirmations &self, const entry_vms_seen &seen, instant now)
{
    std::map<vm_id, entry_confirmation> entries;
    for (const entry_vm &vm : seen.live) {
        entry_confirmation known = takeOver(self, vm);
        known.unheardSince.reset();
        entries.emplace(vm.id, std::move(known));
    }
    for (const entry_vm &vm : seen.unheard) {
        entry_confirmation known = takeOver(self, vm);
        known.unheardSince = known.unheardSince.value_or(now);
        entries.emplace(vm.id, std::move(known));
    }
    self.entries = std::move(entries);
    self.hearsMajority = seen.hearsMajority;
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
    vm.reported = true;
}

confirmation_status statusOf(const confirmations &self, revision wanted, duration grace, instant now)
{
    confirmation_status status{.hearsMajority = self.hearsMajority};
    for (const auto &[id, vm] : self.entries) {
        if (!counts(vm, grace, now)) {
            continue;
        }
        ++status.counted;
        if (!confirms(vm, wanted)) {
            status.missing.push_back({id, vm.name, vm.dataCentre, vm.unheardSince.has_value()});
        }
    }
    status.inForce = status.hearsMajority && status.missing.empty();
    return status;
}

std::vector<vm_id> takeVmsToAsk(confirmations &self, revision wanted, instant now)
{
    std::vector<vm_id> chosen;
    for (auto &[id, vm] : self.entries) {
        const bool askedLately = vm.askedAt && now < *vm.askedAt + self.askInterval;
        if (!confirms(vm, wanted) && !askedLately) {
            vm.askedAt = now;
            chosen.push_back(id);
        }
    }
    return chosen;
}

} // namespace guavafront
