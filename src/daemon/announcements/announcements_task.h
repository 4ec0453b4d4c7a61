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

/// Tasks and settings around the announcements task.
struct announcements_task_options {
    http_server_options server; ///< Where upstreams announce themselves.
    std::string serviceToken; ///< Bearer token that an announcement must carry.
};

/// Takes upstreams' announcements over HTTP (POST /v1/announcements) and passes them to the entry task.
class announcements_task
{
public:
    /// Listens; inbox brings the configuration in force. Throws coordination_error (SettingInvalid).
    announcements_task(loop &owner, announcements_task_options options,
                       mailbox<std::shared_ptr<const configuration>> &inbox, mailbox<entry_event> &entries,
                       daemon_counters &counters);

private:
    void receive(exchange_id id, const http_request &request);
    void acceptAnnouncement(const http_request &request);

    std::string m_serviceToken; ///< What announcements must carry.
    mailbox<entry_event> &m_entries; ///< Not owned.
    daemon_counters &m_counters; ///< Not owned.
    duration m_defaultLease; ///< Of announcements that name none.
    http_server m_server; ///< Upstreams' connections.
    mailbox_attachment<std::shared_ptr<const configuration>> m_attachment; ///< To the inbox.
};

} // namespace guavafront
