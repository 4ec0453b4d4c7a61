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

/// An entry VM as the membership knows it.
struct entry_vm {
    vm_id id; ///< Identity.
    std::string dataCentre; ///< From its settings.
    bool operator==(const entry_vm &) const = default; ///< Memberwise equality.
};

/// The fleet's entry VMs as this VM sees them.
struct entry_vm_view {
    std::vector<entry_vm> live; ///< Alive and suspect ones.
    std::vector<entry_vm> declaredDead; ///< Declared dead, without a word of leaving and without a successor.
    bool seesMajority = true; ///< This VM hears most of the fleet, so that live can be believed.
};

/// An entry VM says which revision its requests are served by.
struct revision_report {
    revision inForce; ///< 0 when there is none yet.
    std::string vmName; ///< From its settings, for operators.
    bool operator==(const revision_report &) const = default; ///< Memberwise equality.
};

/// What a control VM knows of one entry VM.
struct entry_confirmation {
    std::string name; ///< Empty until it has reported.
    std::string dataCentre; ///< From the membership.
    revision inForce; ///< Highest that it has reported.
    bool hasReported = false; ///< It has reported at all.
    std::optional<instant> declaredDeadAt; ///< When it was seen to be declared dead.
    std::optional<instant> lastQueriedAt; ///< When it was last asked for a report.
};

/// Which revision is in force on each entry VM, as far as a control VM knows. A report counts for one life of a VM's
/// process, in which revisions only go up.
struct confirmations {
    duration queryInterval = std::chrono::seconds(1); ///< Between two questions to one VM.
    std::map<vm_id, entry_confirmation> entries; ///< All that count or did lately.
    bool seesMajority = false; ///< As last seen.
};

/// An entry VM that hasn't confirmed a revision.
struct unconfirmed_vm {
    vm_id id; ///< Identity.
    std::string name; ///< Empty when this VM never heard from it.
    std::string dataCentre; ///< Where it stands.
    bool declaredDead = false; ///< It was declared dead a short time ago and may still serve.
    bool operator==(const unconfirmed_vm &) const = default; ///< Memberwise equality.
};

/// How far a revision has come.
struct confirmation_status {
    bool inForce = false; ///< On all live entry VMs.
    bool seesMajority = false; ///< Without it inForce is never said.
    std::size_t requiredCount = 0; ///< Entry VMs that had to confirm.
    std::vector<unconfirmed_vm> missing; ///< Those that haven't, ordered by id.
    bool operator==(const confirmation_status &) const = default; ///< Memberwise equality.
};

/// Takes in what the membership says. VMs that left or were replaced at their address are forgotten.
void noteEntryVms(confirmations &self, const entry_vm_view &view, instant now);

/// Takes in a report; one of a VM that the membership doesn't know is dropped, since that VM is asked once it is known.
void noteReport(confirmations &self, vm_id from, const revision_report &report);

/// How far the revision has come. A VM declared dead counts for the grace, after which it refuses keyed requests
/// itself.
confirmation_status statusOf(const confirmations &self, revision wanted, duration gracePeriod, instant now);

/// VMs to ask for a report now: those that count and haven't confirmed the revision, and those that never reported.
std::vector<vm_id> takeVmsToQuery(confirmations &self, revision wanted, instant now);

} // namespace guavafront
