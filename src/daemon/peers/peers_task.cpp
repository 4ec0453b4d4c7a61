#include "daemon/peers/peers_task.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace guavafront
{

peers_task::peers_task(loop &owner, peers_task_options options, mailbox<peers_message> &inbox)
    : m_options(std::move(options))
    , m_links(owner, m_options.links,
              {.ready =
                   [this](const peer_identity &peer) {
                       m_idOfAddress[peer.address] = peer.id;
                       LOG(INFO) << "link ready: VM " << std::hex << peer.id.value << " at " << peer.address;
                   },
               .received = [this](const peer_identity &from, envelope message) { dispatch(from, std::move(message)); },
               .lost =
                   [](vm_id peer) {
                       LOG(INFO) << "link lost: VM " << std::hex << peer.value;
                   }})
    , m_attachment(inbox, owner, [this](peers_message message) {
        std::visit([this](auto &each) { handle(std::move(each)); }, message);
    })
{
}

void peers_task::handle(send_to_vm message)
{
    m_links.send(message.to, {}, std::move(message.message));
}

void peers_task::handle(const send_to_seeds &message)
{
    for (const std::string &seed : m_options.seeds) {
        // Without the identity of the VM that answered there last, each message would open a link of its own.
        const auto known = m_idOfAddress.find(seed);
        const vm_id id = known == m_idOfAddress.end() ? vm_id{} : known->second;
        const std::vector<vm_id> connected = m_links.connectedPeers();
        const bool linked = std::ranges::find(connected, id) != connected.end();
        m_links.send(linked ? id : vm_id{}, seed, message.message);
    }
}

void peers_task::handle(const send_to_linked &message)
{
    for (const vm_id peer : m_links.connectedPeers()) {
        m_links.send(peer, {}, message.message);
    }
}

void peers_task::dispatch(const peer_identity &from, envelope message)
{
    const channel_subscriber &subscriber = m_options.subscribers[static_cast<std::size_t>(message.kind)];
    if (subscriber) {
        subscriber(from, std::move(message));
    }
}

} // namespace guavafront
