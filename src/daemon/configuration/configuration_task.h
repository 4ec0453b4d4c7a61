#pragma once

#include "daemon/configuration/configuration_message.h"
#include "daemon/peers/peers_message.h"
#include "runtime/mailbox.h"
#include "runtime/timer.h"

#include <functional>
#include <memory>

namespace guavafront
{

/// Called with each revision that comes into force on this VM; posts it into other tasks' mailboxes.
using configuration_subscriber = std::function<void(const std::shared_ptr<const configuration> &)>;

/// Keeps the configuration in force on this VM: asks the seeds for newer revisions and passes on what it holds.
class configuration_task
{
public:
    /// Starts to ask at once.
    configuration_task(loop &owner, mailbox<configuration_message> &inbox, mailbox<peers_message> &peers,
                       configuration_subscriber subscriber);

private:
    void handle(const configuration_from_peer &message);
    void handle(const configuration_accepted &message);
    void handle(const configuration_wanted &message) const;
    void ask();
    void take(std::shared_ptr<const configuration> value);

    mailbox<peers_message> &m_peers; ///< Not owned.
    configuration_subscriber m_subscriber; ///< Told of each revision in force.
    std::shared_ptr<const configuration> m_current; ///< In force; never null.
    timer m_askTimer; ///< Asks the seeds again.
    mailbox_attachment<configuration_message> m_attachment; ///< To the inbox.
};

} // namespace guavafront
