#pragma once

#include "runtime/timer.h"
#include "wire/follower_codec.h"

#include <guavafront/coordination/configuration/confirmations.h>

#include <functional>
#include <string>

namespace guavafront
{

/// Who this VM is for confirmations, and how it reaches others.
struct confirmation_host_options {
    std::string vmName; ///< Of this VM, for operators.
    vm_id self; ///< This VM.
    bool isControl = false; ///< This VM collects reports, also its own.
    std::function<void(vm_id, const follower_message &)> send; ///< Sends to a VM, this one allowed; may lose.
    std::function<void(const follower_message &)> sendToControls; ///< Sends to the other live control VMs; may lose.
};

/// Reports which revision this VM's requests are served by, and collects the reports of others on a control VM. A
/// report that was lost is asked for again while an operator waits.
class confirmation_host
{
public:
    /// Sends nothing yet.
    confirmation_host(loop &owner, confirmation_host_options options);

    /// The entry task has taken a revision.
    void recordApplied(revision inForce);

    /// A control VM wants a report.
    void sendReportTo(vm_id controlVm) const;

    /// A report has come.
    void recordReport(vm_id from, const revision_report &report);

    /// The fleet has changed.
    void recordEntryVms(const entry_vm_view &view);

    /// How far a revision has come; asks those that haven't confirmed it.
    confirmation_status queryStatus(revision wanted, duration grace);

private:
    void sendReport();
    void queryUnconfirmedVms(revision wanted);

    confirmation_host_options m_options; ///< As constructed.
    revision m_revisionInForce; ///< On this VM's entry task.
    bool m_reportDue = false; ///< It has changed since the last report.
    bool m_reportedRecently = false; ///< The last report is too recent for another one.
    confirmations m_confirmations; ///< The decision's state.
    timer m_reportTimer; ///< Runs between two reports.
};

} // namespace guavafront
