#pragma once

#include "daemon/departures/departures_message.h"
#include "daemon/metrics/daemon_counters.h"
#include "daemon/peers/peers_message.h"
#include "runtime/loop.h"
#include "runtime/mailbox.h"
#include "runtime/timer.h"

#include <guavafront/coordination/entry/entry_event.h>

#include <string>
#include <unordered_map>

namespace guavafront
{

/// Identity of a control VM for its departures task.
struct departures_task_options {
    vm_id self; ///< This VM.
    std::string dataCentre; ///< Data centre of this VM.
};

/// Has the departures of upstream instances that this control VM acknowledges held by other control VMs, and passes
/// departures on to the entry VMs. It carries out the decisions of coordination/departures.
class departures_task
{
public:
    /// Handles the messages that arrive in inbox. Departures that are new to this VM are posted to registry.
    departures_task(loop &owner, const departures_task_options &options, mailbox<departures_inbox_message> &inbox,
                    mailbox<peers_message> &peers, mailbox<entry_event> &registry, daemon_counters &counters);
    /// Refuses the calls that wait for an answer.
    ~departures_task();
    departures_task(const departures_task &) = delete;
    departures_task &operator=(const departures_task &) = delete;

private:
    void handle(const departure_submitted &message);
    void handle(const departure_event &event);
    void run(const departure_event &event);
    void perform(const answer_departure &effect);
    void perform(const apply_departure &effect);
    void perform(const cover_homes &effect);
    void perform(const repeat_departures &effect);
    void perform(const send_departures &effect);

    mailbox<peers_message> &m_peers; ///< Inbox of the peers task; not owned.
    mailbox<entry_event> &m_registry; ///< Inbox of the task that keeps this VM's registry; not owned.
    daemon_counters &m_counters; ///< Exported counters; not owned.
    departure_table m_state; ///< State of the decisions.
    std::unordered_map<std::uint64_t, std::function<void(bool)>> m_calls; ///< Calls without an answer, by ticket.
    std::uint64_t m_lastTicket = 0; ///< Last ticket given to a call.
    timer m_timer; ///< Runs the decisions at nextWake().
    mailbox_attachment<departures_inbox_message> m_attachment;
};

} // namespace guavafront
