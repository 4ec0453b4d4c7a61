#include "daemon/configuration/confirmation_host.h"

#include "runtime/loop.h"

#include <algorithm>
#include <utility>

namespace guavafront
{

namespace
{

/// Minimum time between two reports, which limits what a burst of changes costs each entry VM.
constexpr duration minReportInterval = std::chrono::milliseconds(100);

} // namespace

confirmation_host::confirmation_host(loop &owner, confirmation_host_options options)
    : m_options(std::move(options))
    , m_reportTimer(owner, [this] {
        m_reportedRecently = false;
        if (m_reportDue) {
            sendReport();
        }
    })
{
}

void confirmation_host::recordApplied(revision inForce)
{
    m_revisionInForce = std::max(m_revisionInForce, inForce);
    m_reportDue = true;
    if (!m_reportedRecently) {
        sendReport();
    }
}

void confirmation_host::sendReportTo(vm_id controlVm) const
{
    m_options.send(controlVm, revision_report{m_revisionInForce, m_options.vmName});
}

void confirmation_host::recordReport(vm_id from, const revision_report &report)
{
    noteReport(m_confirmations, from, report);
}

void confirmation_host::recordEntryVms(const entry_vm_view &view)
{
    if (m_options.isControl) {
        noteEntryVms(m_confirmations, view, loop::now());
        queryUnconfirmedVms({}); // Asks the VMs that never reported.
    }
}

confirmation_status confirmation_host::queryStatus(revision wanted, duration grace)
{
    queryUnconfirmedVms(wanted);
    return statusOf(m_confirmations, wanted, grace, loop::now());
}

void confirmation_host::sendReport()
{
    m_reportDue = false;
    m_reportedRecently = true;
    m_reportTimer.arm(minReportInterval);
    const revision_report own{m_revisionInForce, m_options.vmName};
    m_options.sendToControls(own);
    if (m_options.isControl) {
        m_options.send(m_options.self, own);
    }
}

void confirmation_host::queryUnconfirmedVms(revision wanted)
{
    for (const vm_id vm : takeVmsToQuery(m_confirmations, wanted, loop::now())) {
        m_options.send(vm, report_request{});
    }
}

} // namespace guavafront
