#pragma once

#include "daemon/configuration/configuration_message.h"
#include "daemon/control/control_message.h"
#include "runtime/mailbox.h"

#include <memory>

namespace guavafront
{

/// Decides operators' changes. One VM, in memory; the replicated log takes its place.
class control_task
{
public:
    /// Takes requests from inbox and tells the VM's configuration task of accepted revisions.
    control_task(loop &owner, mailbox<control_message> &inbox, mailbox<configuration_message> &configurations);

private:
    void handle(const change_submitted &message);
    void handle(const status_requested &message) const;

    mailbox<configuration_message> &m_configurations; ///< Not owned.
    change_log m_log; ///< The state.
    std::shared_ptr<const configuration> m_accepted; ///< Copy of the state's configuration; never null.
    mailbox_attachment<control_message> m_attachment; ///< To the inbox.
};

} // namespace guavafront
