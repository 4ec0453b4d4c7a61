#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace guavafront
{

/// An entry VM as the membership protocol reports it.
struct entry_vm {
    vm_id id; ///< Identity of the VM.
    std::string dataCentre; ///< Data centre, from the VM's settings.
    bool operator==(const entry_vm &) const = default; ///< Memberwise equality.
};

/// This VM's view of the fleet's entry VMs.
struct entry_vm_view {
    std::vector<entry_vm> live; ///< VMs that the membership holds alive or suspect.
    std::vector<entry_vm> declaredDead; ///< VMs declared dead that neither left on purpose nor were replaced since.
    bool seesMajority = true; ///< Most of the fleet is alive in this VM's view; otherwise `live` can't be relied on.
};

/// Report of an entry VM on the revision by which it serves requests.
struct revision_report {
    revision inForce; ///< Revision in force on the VM; 0 when it has none yet.
    std::string vmName; ///< Name from the VM's settings, for operators.
    bool operator==(const revision_report &) const = default; ///< Memberwise equality.
};

/// What a control VM knows about one entry VM.
struct entry_confirmation {
    std::string name; ///< Name for operators; empty until the VM has reported.
    std::string dataCentre; ///< Data centre, from the membership.
    revision inForce; ///< Highest revision that the VM has reported.
    bool hasReported = false; ///< The VM has reported at least once.
    std::optional<instant> declaredDeadAt; ///< When this VM learned that it was declared dead; absent while it is live.
    std::optional<instant> lastQueriedAt; ///< When the VM was last asked for a report.
};

/// The revision in force on each entry VM, as far as a control VM knows. A report counts for one run of a VM's process:
/// within one run revisions never decrease, but a restarted process may hold an older one.
struct confirmations {
    duration queryInterval = std::chrono::seconds(1); ///< Minimum time between two queries to the same VM.
    std::map<vm_id, entry_confirmation> entries; ///< Entry VMs of the last view, live or declared dead.
    bool seesMajority = false; ///< Value from the last view.
};

/// An entry VM that hasn't confirmed a revision.
struct unconfirmed_vm {
    vm_id id; ///< Identity of the VM.
    std::string name; ///< Name for operators; empty when the VM has never reported to this control VM.
    std::string dataCentre; ///< Data centre of the VM.
    bool declaredDead = false; ///< The VM was declared dead less than the grace period ago and may still serve.
    bool operator==(const unconfirmed_vm &) const = default; ///< Memberwise equality.
};

/// How many entry VMs have put a revision in force.
struct confirmation_status {
    bool inForce = false; ///< The revision is in force on every entry VM that may be serving.
    bool seesMajority = false; ///< This VM sees a majority of the fleet; without it inForce is always false.
    std::size_t requiredCount = 0; ///< Number of entry VMs whose confirmation is required.
    std::vector<unconfirmed_vm> missing; ///< Required VMs that haven't confirmed, ordered by id.
    bool operator==(const confirmation_status &) const = default; ///< Memberwise equality.
};

/// Replaces the set of entry VMs by that of the view. VMs that left or were replaced at their address are forgotten.
void noteEntryVms(confirmations &self, const entry_vm_view &view, instant now);

/// Records a report. A report from a VM that isn't in the last view is dropped; that VM is queried once it is.
void noteReport(confirmations &self, vm_id from, const revision_report &report);

/// Confirmation status of the wanted revision. A VM that was declared dead stays required for gracePeriod, after which
/// it refuses keyed requests on its own.
confirmation_status statusOf(const confirmations &self, revision wanted, duration gracePeriod, instant now);

/// Returns the VMs to ask for a report now, and records that they were asked: those that haven't confirmed the wanted
/// revision, each at most once in queryInterval.
std::vector<vm_id> takeVmsToQuery(confirmations &self, revision wanted, instant now);

} // namespace guavafront
