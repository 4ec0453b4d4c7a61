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
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace guavafront
{

/// Settings of the links of one VM.
struct link_table_options {
    peer_link_options link; ///< Identity of this VM, fleet secret and limits of each link.
    std::string listenAddress = "127.0.0.1:0"; ///< "IP:port" on which links are accepted.
    std::size_t maxHandshakes = 256; ///< Connections are refused while this many links aren't ready.
    std::uint8_t urgentRoles = 0; ///< Links to VMs with one of these roles, as bits of member_role, are handled first.
    /// Messages of such a link that are handled first until the loop has handled the other events that wait.
    std::size_t urgentMessages = 128;
    std::size_t pendingMessages = 64; ///< Messages that may wait for one link; beyond, the oldest is dropped.
    duration backoffFirst = std::chrono::milliseconds(100); ///< Wait after the first failed attempt to connect.
    duration backoffLongest = std::chrono::seconds(5); ///< Longest wait between attempts to connect.
    duration recoveryFirst = std::chrono::milliseconds(400); ///< Wait after the first attempt to replace a link.
    duration recoveryLongest = std::chrono::seconds(2); ///< Longest wait between attempts to replace a link.
    duration idleLimit = std::chrono::seconds(60); ///< A ready link that has been unused for longer is closed.
};

/// Counters of links and messages since the start of the link table.
struct link_counters {
    std::array<std::uint64_t, static_cast<std::size_t>(link_end::Count)> ended{}; ///< Ended links, by reason.
    std::uint64_t accepted = 0; ///< Connections accepted.
    std::uint64_t refused = 0; ///< Connections closed at once because maxHandshakes was reached.
    std::uint64_t opened = 0; ///< Attempts to open a connection.
    std::uint64_t ready = 0; ///< Links whose peer was authenticated.
    std::uint64_t messagesSent = 0; ///< Envelopes handed to links.
    std::uint64_t bytesSent = 0; ///< Size of the sent envelopes' bodies in bytes.
    std::uint64_t messagesReceived = 0; ///< Envelopes received from links.
    std::uint64_t bytesReceived = 0; ///< Size of the received envelopes' bodies in bytes.
    std::uint64_t messagesDropped = 0; ///< Envelopes dropped because no link to their VM took them.
    std::uint64_t messagesResent = 0; ///< Envelopes sent again because they hadn't arrived when their link ended.
    duration resuming{}; ///< Time spent on peers' statements about ended links, and on what is sent again for them.
    std::uint64_t recoveries = 0; ///< Times that a link went silent, or ended with messages that hadn't arrived.
};

/// Callbacks from the link table to its owner, on the loop's thread.
struct link_table_events {
    std::function<void(const peer_identity &)> ready; ///< A link to the VM became ready.
    std::function<void(const peer_identity &, envelope)> received; ///< An authenticated VM sent a message.
    std::function<void(vm_id)> lost; ///< The last ready link to the VM has ended.
};

/// All links of one VM. It accepts and opens links and chooses the link for each message. It is owned by one task; use
/// it on the loop's thread only.
class link_table
{
public:
    /// Starts to listen for links. Throws coordination_error (SettingInvalid).
    link_table(loop &owner, link_table_options options, link_table_events events);
    ~link_table();
    link_table(const link_table &) = delete;
    link_table &operator=(const link_table &) = delete;

    /// Sends a message to a VM over a ready link. Without one, first opens a link to address, unless address is empty.
    /// The message is dropped and counted when no link comes about or another VM answers at the address. If to is 0,
    /// the message goes to whichever VM answers.
    void send(vm_id to, std::string_view address, envelope message);

    /// Closes all ready links to a VM.
    void disconnect(vm_id peer);

    /// Checks that the link to the VM works. If it doesn't, another one replaces it.
    void verify(vm_id peer);

    /// Returns whether a link to the VM is ready.
    bool isConnected(vm_id peer) const;

    /// Returns the VMs with a ready link, ordered by id.
    std::vector<vm_id> connectedPeers() const;

    /// Returns the identity of this VM, with the address at which peers reach it.
    const peer_identity &self() const;

    /// Returns the counters since the start of the link table.
    const link_counters &counters() const;

private:
    struct pending_message {
        vm_id to; ///< VM that gets the message; 0 for whichever VM answers.
        envelope message; ///< Message to send.
    };

    struct outgoing_connection {
        peer_link *link = nullptr; ///< Link that is being opened; null between attempts.
        duration backoff{}; ///< Upper bound of the wait after the last failure.
        instant notBefore; ///< Time before which no new link is opened.
        std::deque<pending_message> pending; ///< Messages to send once the link is ready.
    };

    /// Attempts to open a link in place of one that went silent or has ended with messages that hadn't arrived.
    struct recovery {
        std::string address; ///< "IP:port" on which the peer accepts links.
        duration pause{}; ///< Wait after the next attempt.
        instant nextAttempt; ///< Time of the next attempt.
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
    void detachLink(peer_link &link, link_end reason);
    void replaceSilentLinks(const peer_link &replacement);
    void offerResumptions(peer_link &link);
    void handleResumption(peer_link &link, const link_resumption &statement);
    void resend(peer_link &link, std::span<const kept_message> messages);
    void startRecovery(vm_id peer, const std::string &address);
    bool needsRecovery(vm_id peer) const;
    void runRecoveries();
    void forgetExpired();
    bool isLogged(const peer_identity &peer) const;
    void renewUrgency();

    loop &m_loop; ///< Loop that runs all links; not owned.
    link_table_options m_options; ///< Settings; the bound port replaces port 0 in the own address.
    link_table_events m_events; ///< Callbacks to the owner.
    std::minstd_rand m_random; ///< Randomizes the waits between attempts to connect.
    std::unordered_map<const peer_link *, std::unique_ptr<peer_link>> m_links; ///< All links that haven't ended.
    std::unordered_map<vm_id, std::vector<peer_link *>> m_ready; ///< Ready links, by peer.
    /// Connections that are being opened or wait for the next attempt, by address.
    std::map<std::string, outgoing_connection, std::less<>> m_outgoing;
    std::vector<std::unique_ptr<peer_link>> m_ended; ///< Ended links, which can't be destroyed in their own callbacks.
    timer m_destroyTimer; ///< Destroys the links in m_ended.
    timer m_idleCheck; ///< Runs closeIdle().
    detached_links m_detached; ///< Links that ended recently.
    std::unordered_map<vm_id, recovery> m_recoveries; ///< Links that are being replaced, by peer.
    timer m_urgencyTimer; ///< Runs renewUrgency() as a normal event, after those that wait already.
    timer m_recoveryTimer; ///< Runs runRecoveries().
    link_counters m_counters; ///< Counters since the start of the link table.
    listener m_listener; ///< Accepts connections of peers.
};

} // namespace guavafront
