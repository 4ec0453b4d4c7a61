#pragma once

#include "soak/soak_record.h"

#include <optional>
#include <string>
#include <vector>

namespace guavafront
{

/// What a check found broken, a line of text each; empty when all is kept.
using findings = std::vector<std::string>;

/// Time within which an acknowledged change has to be in force for a request at an entry VM. Empty while no bound holds
/// for the VM: it was disturbed itself, or half of the control VMs or more were away.
std::optional<duration> applyBound(const soak_record &record, const std::string &vm, instant sentAt, instant endedAt);

/// Rule CONFIG: a request is handled as the acknowledged version or a newer one says.
findings checkApplied(const soak_record &record);

/// Rule CONFIG: no read shows an older version than one that was acknowledged ConfigApplyMs before.
findings checkReadsNotOlder(const soak_record &record);

/// Rule CONFIG: in one life of an entry VM's process, the effect of a version isn't taken back.
findings checkNotRolledBack(const soak_record &record);

/// Rule CONFIG: what is invalid is neither acknowledged nor in force.
findings checkInvalidRefused(const soak_record &record);

/// Rule CONFIG: other content under a version that is held is neither read back nor in force, and each version is read
/// back as it was sent.
findings checkContentKept(const soak_record &record);

/// Rule CONFIG: a change isn't refused, neither the first time nor again once it was acknowledged.
findings checkNotRefused(const soak_record &record);

/// Rule CONFIG: routes that were added later are served a quarter as often as the first ones, at least.
findings checkLaterRoutesServed(const soak_record &record);

/// Rules CONFIG and LOST: after the final fault, every control VM gives the newest acknowledged version or one that got
/// no clear answer, within RecoverS.
findings checkFinalReads(const soak_record &record);

/// Rule LOST: a planned stop or a reload in calm cuts no request that was read.
findings checkPlannedWorkCutsNothing(const soak_record &record);

/// Rules TWICE and REFUSED: a request that may run once at most reaches no second instance, and one that was refused as
/// not run reaches none.
findings checkRunOnce(const soak_record &record);

/// Rule Fault: no process ends by itself.
findings checkNoneEnded(const soak_record &record);

/// All of the above, with the first findings of each.
findings checkAll(const soak_record &record);

} // namespace guavafront
