#pragma once

#include "runtime/timer.h"
#include "wire/envelope.h"
#include "wire/handshake.h"
#include "wire/websocket/websocket_session.h"

#include <guavafront/coordination/core/result_code.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;

namespace guavafront
{

/// Limits of one link.
struct link_limits {
    std::size_t messageBytes = 1'048'576; ///< Largest message taken or sent.
    std::size_t outgoingBytes = 4'194'304; ///< Unsent bytes after which the peer counts as too slow.
    duration handshakeLimit = std::chrono::seconds(3); ///< From the connection's start to the peer's proof.
    duration keepalivePeriod = std::chrono::seconds(2); ///< Silence after which the peer is pinged.
    duration silenceLimit = std::chrono::seconds(6); ///< Silence after which the connection counts as lost.
};

/// Why a link ended.
enum class link_end : std::uint8_t {
    ByOwner, ///< close() was called.
    ConnectFailed, ///< No connection came about.
    PeerClosed, ///< The other end or the network closed it.
    HandshakeTimeout, ///< No proof within handshakeLimit.
    Unauthenticated, ///< The peer did not prove the fleet secret.
    Silent, ///< Nothing was heard within silenceLimit.
    TooSlow, ///< More than outgoingBytes waited to be sent.
    TooLarge, ///< A message exceeded messageBytes.
    Malformed, ///< A message could not be decoded.
    UnknownChannel, ///< A message named a channel or kind that this version doesn't know.
    Count, ///< Number of reasons.
};

/// Stable name of a reason, for logs and counters.
std::string_view linkEndName(link_end reason);

/// Who a link speaks for and in which limits.
struct peer_link_options {
    peer_identity self; ///< Own identity.
    fleet_secret secret{}; ///< Proved to the peer, asked of the peer.
    link_limits limits; ///< Sizes and times.
};

/// What a link tells its owner. The link outlives the call; the owner destroys it afterwards.
struct peer_link_events {
    std::function<void(const peer_identity &)> ready; ///< The peer has proved itself.
    std::function<void(envelope)> received; ///< Never a Control message, never before ready.
    std::function<void(link_end)> closed; ///< Once; nothing follows it.
};

/// One authenticated connection between two VMs. Owned by one task, loop's thread only.
class peer_link
{
public:
    /// Link over a connected or connecting bufferevent, which it takes over.
    peer_link(loop &owner, const peer_link_options &options, websocket_role role, bufferevent *socket,
              peer_link_events events);
    ~peer_link();
    peer_link(const peer_link &) = delete;
    peer_link &operator=(const peer_link &) = delete;

    /// Sends a message; false before ready, after the end, and when the message exceeds the size limit. A peer with
    /// more than outgoingBytes waiting is closed as TooSlow.
    bool send(const envelope &message);

    /// Ends the link.
    void close(link_end reason = link_end::ByOwner);

    /// The peer has proved itself and the link hasn't ended.
    bool ready() const;

    /// The peer; proved once ready.
    const peer_identity &peer() const;

    /// This end opened the connection.
    bool isInitiator() const;

    /// When an envelope was last sent or received.
    instant lastUsed() const;

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
    void checkSilence();

    loop &m_loop; ///< Not owned.
    const peer_link_options &m_options; ///< Not owned.
    websocket_role m_role; ///< Client when this end opened the connection.
    bufferevent *m_socket; ///< Owned.
    peer_link_events m_events; ///< The owner's.
    handshake m_handshake; ///< Proof of both ends.
    std::unique_ptr<websocket_session> m_session; ///< The protocol on the connection.
    timer m_timer; ///< Limit of the handshake, then the keepalive.
    instant m_lastReceived; ///< Last byte from the peer.
    instant m_lastUsed; ///< Last envelope either way.
    bool m_connected = false; ///< The connection came about.
    bool m_closed = false; ///< The link has ended.
};

} // namespace guavafront
