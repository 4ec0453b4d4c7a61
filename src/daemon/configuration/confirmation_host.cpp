#include "daemon/configuration/confirmation_host.h"

#include "runtime/loop.h"

#include <algorithm>
#include <utility>

namespace guavafront
{

namespace
{

/// Least time between two reports, so that a burst of changes costs each entry VM little.
constexpr duration reportPause = std::chrono::milliseconds(100);

} // namespace

confirmation_host::confirmation_host(loop &owner, confirmation_host_options options)
    : m_options(std::move(options))
    , m_pause(owner, [this] {
        m_pausing = false;
        if (m_unsent) {
            report();
        }
    })
{
}

void confirmation_host::noteApplied(revision inForce)
{
    m_inForce = std::max(m_inForce, inForce);
    m_unsent = true;
    if (!m_pausing) {
        report();
    }
}

void confirmation_host::reportTo(vm_id asker) const
{
    m_options.send(asker, revision_report{m_inForce, m_options.vmName});
}

void confirmation_host::take(vm_id from, const revision_report &report)
{
    noteReport(m_confirmations, from, report);
}

void confirmation_host::take(const entry_vm_view &seen)
{
    if (m_options.isControl) {
        noteEntryVms(m_confirmations, seen, loop::now());
        ask({}); // Those that never reported.
    }
}

confirmation_status confirmation_host::check(revision wanted, duration grace)
{
    ask(wanted);
    return statusOf(m_confirmations, wanted, grace, loop::now());
}

void confirmation_host::report()
{
    m_unsent = false;
    m_pausing = true;
    m_pause.arm(reportPause);
    const revision_report own{m_inForce, m_options.vmName};
    m_options.sendToControls(own);
    if (m_options.isControl) {
        m_options.send(m_options.self, own);
    }
}

void confirmation_host::ask(revision wanted)
{
    for (const vm_id vm : takeVmsToQuery(m_confirmations, wanted, loop::now())) {
        m_options.send(vm, report_request{});
    }
}

} // namespace guavafront
