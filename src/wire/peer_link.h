#pragma once

#include "runtime/timer.h"
#include "wire/envelope.h"
#include "wire/handshake.h"
#include "wire/websocket/websocket_session.h"

#include <guavafront/coordination/core/result_code.h>
#include <guavafront/coordination/links/link_resumption.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;

namespace guavafront
{

/// Limits on the sizes and times of one link.
struct link_limits {
    std::size_t messageBytes = 1'048'576; ///< Largest message that is accepted or sent, in bytes.
    std::size_t outgoingBytes = 4'194'304; ///< Unsent bytes above which the peer is too slow and the link is closed.
    duration handshakeLimit = std::chrono::seconds(3); ///< Longest time from the link's creation to the peer's proof.
    duration keepalivePeriod = std::chrono::seconds(2); ///< Time without received bytes after which the peer is pinged.
    duration silenceLimit = std::chrono::seconds(6); ///< Time without received bytes after which the link is closed.
};

/// Why a link ended.
enum class link_end : std::uint8_t {
    ByOwner, ///< The owner called close().
    ConnectFailed, ///< The connection could not be established.
    PeerClosed, ///< The peer or the network closed the connection, or the WebSocket session failed.
    HandshakeTimeout, ///< The peer sent no proof within handshakeLimit.
    Unauthenticated, ///< The handshake failed: the peer did not prove the fleet secret.
    Silent, ///< No bytes arrived within silenceLimit.
    TooSlow, ///< More than outgoingBytes bytes were waiting to be sent.
    TooLarge, ///< A message exceeded messageBytes.
    Malformed, ///< A message could not be decoded.
    UnknownChannel, ///< A message had a channel or type that this version doesn't know.
    Replaced, ///< The link had gone silent, and another one to the same VM became ready.
    Count, ///< Number of reasons.
};

/// Whether messages of the channel are sent again when their link ends. Replicas repeat themselves what is lost, and
/// what they sent during a cut would keep their other messages waiting after it.
bool isResentByLinks(channel kind);

/// Name of a reason for logs and counters. The names are the same in all versions of the program.
std::string_view linkEndName(link_end reason);

/// Identity, secret and limits of a link.
struct peer_link_options {
    peer_identity self; ///< Identity of this VM.
    fleet_secret secret{}; ///< Fleet secret; each end proves to the other that it has it.
    link_limits limits; ///< Limits on the sizes and times of the link.
};

/// Callbacks from a link to its owner. A callback must not destroy the link; the owner destroys it afterwards.
struct peer_link_events {
    std::function<void(const peer_identity &)> ready; ///< The peer has proved the fleet secret.
    std::function<void(envelope)> received; ///< A message arrived. Never called before ready, nor for Control messages.
    std::function<void(link_end)> closed; ///< The link has ended. Called once, and no other callback follows.
    std::function<void()> silent; ///< The peer's answer to a question is overdue. Called again while it stays away.
    std::function<void(const link_resumption &)> resumption; ///< The peer states what it received on an ended link.
};

/// One authenticated connection between two VMs. Owned by one task and used only on the thread of its loop.
class peer_link
{
public:
    /// Starts a link on a connected or connecting bufferevent, of which it takes ownership. The loop and the options
    /// must outlive the link.
    peer_link(loop &owner, const peer_link_options &options, websocket_role role, bufferevent *socket,
              peer_link_events events);
    ~peer_link();
    peer_link(const peer_link &) = delete;
    peer_link &operator=(const peer_link &) = delete;

    /// Sends a message. Returns false before the link is ready, after it has ended, and when the message exceeds
    /// messageBytes. When more than outgoingBytes then wait to be sent, the link ends as TooSlow.
    bool send(const envelope &message);

    /// Ends the link and calls the closed callback. Does nothing when the link has already ended.
    void close(link_end reason = link_end::ByOwner);

    /// Whether the peer has proved the fleet secret and the link hasn't ended.
    bool ready() const;

    /// Identity of the peer; proved once the link is ready.
    const peer_identity &peer() const;

    /// Whether this end opened the connection.
    bool isInitiator() const;

    /// Time at which an envelope was last sent or received.
    instant lastUsed() const;

    /// Lets the link's bytes be handled before the loop's normal events until so many messages have come; the rest
    /// waits its turn, so that no volume of messages keeps the normal events waiting for good.
    void allowUrgent(std::size_t messages);

    /// Whether the messages of the latest allowUrgent() have come.
    bool isUrgencyUsedUp() const;

    /// Asks the peer to show that the link works in both directions.
    void verify();

    /// Whether the peer's answer to a question is overdue.
    bool isSilent() const;

    /// Whether both ends can resume the link after its end.
    bool isResumable() const;

    /// Identity of the link, the same at both ends.
    const link_identity &identity() const;

    /// Messages that may not have arrived.
    const link_delivery &unconfirmed() const;

    /// Takes the messages that may not have arrived, after the link's end.
    link_delivery takeDelivery();

    /// Sends a statement on an ended link. The peer must be able to resume links.
    void sendResumption(const link_resumption &statement);

private:
    static void readCallback(bufferevent *socket, void *self);
    static void eventCallback(bufferevent *socket, short what, void *self);

    void handleConnected();
    void readInput();
    void handleMessage(std::string_view bytes);
    void handleControl(const envelope &message);
    void finishHandshake();
    void sendControl(const handshake_message &message);
    void write(std::string_view bytes);
    void handleAnswer(std::string_view payload);
    void handleTimer();
    void noteDelay(instant due, instant now);
    void checkDelivery();
    void setUrgency(event_urgency urgency);
    void armTimer();

    loop &m_loop; ///< Loop whose thread runs the link; not owned.
    const peer_link_options &m_options; ///< Identity, secret and limits; not owned.
    websocket_role m_role; ///< Client when this end opened the connection.
    bufferevent *m_socket; ///< Connection; owned.
    peer_link_events m_events; ///< Callbacks to the owner.
    handshake m_handshake; ///< State of the handshake.
    std::unique_ptr<websocket_session> m_session; ///< WebSocket session on the connection.
    timer m_timer; ///< Fires at the end of handshakeLimit, then when a question or check is due.
    bool m_resumable = false; ///< Whether both ends can resume the link; known once it is ready.
    link_delivery m_delivery; ///< Messages that may not have arrived; used if the link is resumable.
    instant m_connectedAt; ///< Time at which the connection was established.
    instant m_nextKeepalive; ///< Time of the next check for silence.
    instant m_armedFor; ///< Time for which m_timer is armed.
    instant m_lastReceived; ///< Time of the last bytes from the peer.
    instant m_lastUsed; ///< Time of the last envelope sent or received, apart from the handshake.
    std::size_t m_urgentMessages = 0; ///< Messages until the link's bytes have the order of normal events.
    bool m_urgencyUsedUp = false; ///< m_urgentMessages has come to 0 since the latest allowUrgent().
    bool m_connected = false; ///< Whether the connection is established.
    bool m_closed = false; ///< Whether the link has ended.
};

} // namespace guavafront
