#pragma once

#include "daemon/peers/listener.h"
#include "runtime/timer.h"
#include "wire/peer_link.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace guavafront
{

/// Settings of all links of one VM.
struct link_table_options {
    peer_link_options link; ///< Own identity, secret and limits of each link.
    std::string listenAddress = "127.0.0.1:0"; ///< "IP:port" to take links on.
    std::size_t maxHandshakes = 256; ///< Accepted connections that may be within their handshake.
    std::size_t pendingMessages = 64; ///< Messages that wait for one connection to come about.
    duration backoffFirst = std::chrono::milliseconds(100); ///< Wait after the first failed connection.
    duration backoffLongest = std::chrono::seconds(5); ///< Longest wait between connections.
    duration idleLimit = std::chrono::seconds(60); ///< A link that carried nothing for longer is closed.
};

/// Counters since the start.
struct link_counters {
    std::array<std::uint64_t, static_cast<std::size_t>(link_end::Count)> ended{}; ///< Links ended, by reason.
    std::uint64_t accepted = 0; ///< Connections taken.
    std::uint64_t refused = 0; ///< Connections closed at once: too many unproved ones.
    std::uint64_t opened = 0; ///< Connections opened.
    std::uint64_t ready = 0; ///< Links whose peer proved itself.
    std::uint64_t messagesSent = 0; ///< Envelopes handed to links.
    std::uint64_t bytesSent = 0; ///< Their bodies.
    std::uint64_t messagesReceived = 0; ///< Envelopes from links.
    std::uint64_t bytesReceived = 0; ///< Their bodies.
    std::uint64_t messagesDropped = 0; ///< Envelopes with no way to their VM.
};

/// What the links tell their owner.
struct link_table_events {
    std::function<void(const peer_identity &)> ready; ///< A link to the VM is ready.
    std::function<void(const peer_identity &, envelope)> received; ///< A message from a proved VM.
    std::function<void(vm_id)> lost; ///< The last ready link to the VM has ended.
};

/// All links of one VM: takes and opens them, finds the one to a VM. Owned by one task, loop's thread only.
class link_table
{
public:
    /// Starts to listen. Throws coordination_error (SettingInvalid).
    link_table(loop &owner, link_table_options options, link_table_events events);
    ~link_table();
    link_table(const link_table &) = delete;
    link_table &operator=(const link_table &) = delete;

    /// Sends to a VM over a ready link, else opens one to address first (empty: don't). The message is dropped, and
    /// counted, when no link comes about or another VM answers there; to 0 takes whichever VM answers.
    void send(vm_id to, std::string_view address, envelope message);

    /// Ends all links to a VM.
    void disconnect(vm_id peer);

    /// Whether a link to the VM is ready.
    bool isConnected(vm_id peer) const;

    /// VMs with a ready link.
    std::vector<vm_id> connectedPeers() const;

    /// Own identity with the address that peers reach.
    const peer_identity &self() const;

    /// Counters since the start.
    const link_counters &counters() const;

private:
    struct pending_message {
        vm_id to; ///< 0: whichever VM answers.
        envelope message; ///< What to send.
    };

    struct outgoing_connection {
        peer_link *link = nullptr; ///< While it is being opened.
        duration backoff{}; ///< Wait after the last failure.
        instant notBefore; ///< No new try until then.
        std::deque<pending_message> pending; ///< Sent once ready.
    };

    peer_link *readyLink(vm_id peer) const;
    void transmit(peer_link &link, const envelope &message);
    void open(const std::string &address, outgoing_connection &target);
    void accept(bufferevent *socket);
    peer_link *addLink(websocket_role role, bufferevent *socket, const std::string &address);
    void handleReady(peer_link &link, const std::string &address);
    void handleClosed(peer_link &link, link_end reason, const std::string &address);
    void backOff(const std::string &address);
    void closeIdle();

    loop &m_loop; ///< Not owned.
    link_table_options m_options; ///< As constructed, with the bound port in the own address.
    link_table_events m_events; ///< The owner's.
    std::minstd_rand m_random; ///< Spreads reconnects.
    std::unordered_map<const peer_link *, std::unique_ptr<peer_link>> m_links; ///< All links that haven't ended.
    std::unordered_map<vm_id, std::vector<peer_link *>> m_ready; ///< Ready links by peer.
    std::map<std::string, outgoing_connection, std::less<>> m_outgoing; ///< By address, until ready.
    std::vector<std::unique_ptr<peer_link>> m_ended; ///< Destroyed by m_destroyTimer, outside their own callbacks.
    timer m_destroyTimer; ///< Empties m_ended.
    timer m_idleCheck; ///< Runs closeIdle().
    link_counters m_counters; ///< Since the start.
    listener m_listener; ///< Takes links.
};

} // namespace guavafront
