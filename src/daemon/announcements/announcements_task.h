#pragma once

#include "daemon/metrics/daemon_counters.h"
#include "http/http_server.h"
#include "runtime/mailbox.h"

#include <guavafront/coordination/configuration/configuration.h>
#include <guavafront/coordination/entry/entry_event.h>

#include <memory>
#include <string>

namespace guavafront
{

/// Settings of the announcements task.
struct announcements_task_options {
    http_server_options server; ///< Listener for announcements.
    std::string serviceToken; ///< Bearer token that announcements must carry.
};

/// Accepts announcements of upstream instances over HTTP (POST /v1/announcements) and posts them to the entry task.
class announcements_task
{
public:
    /// Starts to listen; inbox receives each configuration that comes into force. Throws coordination_error
    /// (SettingInvalid) if the address can't be used.
    announcements_task(loop &owner, announcements_task_options options,
                       mailbox<std::shared_ptr<const configuration>> &inbox, mailbox<entry_event> &entries,
                       daemon_counters &counters);

private:
    void receive(exchange_id id, const http_request &request);
    void acceptAnnouncement(const http_request &request);

    std::string m_serviceToken; ///< Bearer token that announcements must carry.
    mailbox<entry_event> &m_entries; ///< Inbox of the entry task; not owned.
    daemon_counters &m_counters; ///< Daemon's counters; not owned.
    duration m_defaultLease; ///< Lease of announcements that name none.
    http_server m_server; ///< Connections of upstream instances.
    mailbox_attachment<std::shared_ptr<const configuration>> m_attachment;
};

} // namespace guavafront
