#pragma once

#include "runtime/timer.h"
#include "wire/follower_codec.h"

#include <guavafront/coordination/configuration/confirmations.h>

#include <functional>
#include <string>

namespace guavafront
{

/// Identity of this VM in revision reports, and how it reaches other VMs.
struct confirmation_host_options {
    std::string vmName; ///< Name of this VM, shown to operators.
    vm_id self; ///< Identity of this VM.
    bool isControl = false; ///< This is a control VM, which collects reports, including its own.
    std::function<void(vm_id, const follower_message &)> send; ///< Sends to any VM, also this one; may be lost.
    std::function<void(const follower_message &)> sendToControls; ///< Sends to the other live control VMs; may be lost.
};

/// Reports to the control VMs which revision is in force on this VM, and on a control VM collects the reports of all
/// entry VMs. A lost report is asked for again whenever an operator queries the status.
class confirmation_host
{
public:
    /// Sends nothing before the first call of another function.
    confirmation_host(loop &owner, confirmation_host_options options);

    /// Records that the entry task has put a revision in force, and reports it.
    void recordApplied(revision inForce);

    /// Answers a control VM that asked for a report.
    void sendReportTo(vm_id controlVm) const;

    /// Records a report that was received from another VM or from this one.
    void recordReport(vm_id from, const revision_report &report);

    /// Records a change of the set of entry VMs, and asks those for a report that haven't sent one.
    void recordEntryVms(const entry_vm_view &view);

    /// Returns on which entry VMs the wanted revision is in force, and asks those for a report that haven't confirmed
    /// it. A VM that was declared dead less than the grace period ago counts as one that may still serve.
    confirmation_status queryStatus(revision wanted, duration grace);

private:
    void sendReport();
    void queryUnconfirmedVms(revision wanted);

    confirmation_host_options m_options; ///< Identity and callbacks.
    revision m_revisionInForce; ///< Highest revision that the entry task of this VM has put in force.
    bool m_reportDue = false; ///< m_revisionInForce was updated after the last report.
    bool m_reportedRecently = false; ///< The last report was sent less than the minimum interval ago.
    confirmations m_confirmations; ///< Reports collected on a control VM.
    timer m_reportTimer; ///< Runs for the minimum interval after each report.
};

} // namespace guavafront
