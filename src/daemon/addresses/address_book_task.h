#pragma once

#include "daemon/addresses/address_book_message.h"
#include "runtime/loop.h"
#include "runtime/mailbox.h"
#include "runtime/timer.h"

#include <guavafront/coordination/membership/address_book.h>

#include <string>
#include <vector>

namespace guavafront
{

/// Keeps the address book of a control VM on its disk. A task of its own, so that a disk that hangs delays neither the
/// links nor the replicated log.
class address_book_task
{
public:
    /// Reads the book of the data folder and handles the messages that arrive in inbox.
    address_book_task(loop &owner, std::string dataFolder, mailbox<live_addresses_changed> &inbox);

private:
    void handle(live_addresses_changed message);
    void update();

    std::string m_dataFolder; ///< Folder of the book.
    address_book m_stored; ///< Book on the disk.
    std::vector<std::string> m_live; ///< Other live VMs, most important first.
    timer m_pause; ///< Runs update() some time after a write.
    bool m_paused = false; ///< m_pause is armed.
    mailbox_attachment<live_addresses_changed> m_attachment; ///< Delivers messages to handle().
};

} // namespace guavafront
