#pragma once

#include "daemon/peers/link_table.h"
#include "daemon/peers/peers_message.h"
#include "runtime/mailbox.h"

#include <array>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavafront
{

/// Takes the messages of one channel; posts them into the owning task's mailbox.
using channel_subscriber = std::function<void(const peer_identity &from, envelope message)>;

/// Settings and receivers of the peers task.
struct peers_task_options {
    link_table_options links; ///< Own identity, address, secret and limits.
    std::vector<std::string> seeds; ///< "IP:port" of VMs to join by.
    std::array<channel_subscriber, static_cast<std::size_t>(channel::Last) + 1> subscribers; ///< By channel.
};

/// Owns all links of this VM. Lives on one loop's thread.
class peers_task
{
public:
    /// Listens and takes messages from inbox. Throws coordination_error (SettingInvalid).
    peers_task(loop &owner, peers_task_options options, mailbox<peers_message> &inbox);

private:
    void handle(send_to_vm message);
    void handle(const send_to_seeds &message);
    void handle(const send_to_linked &message);
    void dispatch(const peer_identity &from, envelope message);

    peers_task_options m_options; ///< As constructed.
    std::unordered_map<std::string, vm_id> m_idOfAddress; ///< VM that last proved itself at an address.
    link_table m_links; ///< All links.
    mailbox_attachment<peers_message> m_attachment; ///< To the inbox.
};

} // namespace guavafront
