#pragma once

#include "daemon/peers/listener.h"
#include "runtime/timer.h"
#include "scenarios/relay.h"

#include <list>
#include <memory>
#include <vector>

struct bufferevent;

namespace guavafront
{

/// Task of a relay: accepts connections and forwards their bytes. Used on the thread of its loop only.
class relay_task
{
public:
    /// Listens on a free port of loopback and stores it in boundPort. The loop and the inbox must outlive the task.
    relay_task(loop &owner, mailbox<relay_message> &inbox, std::promise<std::uint16_t> &boundPort);
    ~relay_task();
    relay_task(const relay_task &) = delete;
    relay_task &operator=(const relay_task &) = delete;

private:
    static constexpr auto directions = static_cast<std::size_t>(link_direction::Count);

    struct socket_deleter {
        void operator()(bufferevent *owned) const;
    };

    /// One of the two sockets of a relayed connection.
    struct relay_end {
        std::unique_ptr<bufferevent, socket_deleter> socket; ///< Socket of this end.
        bool ended = false; ///< Whether the socket was closed or failed, so that it delivers no more bytes.
    };

    /// An accepted connection together with the connection opened to the link's owner.
    struct relayed_connection {
        relay_task *owner = nullptr; ///< Task of the connection, for libevent's callbacks; not owned.
        std::string sourceIp; ///< IP address of the process that opened the connection.
        std::array<relay_end, directions> sources; ///< For each direction, the end that its bytes are read from.

        /// For each direction, the timer that forwards delayed bytes.
        std::array<std::unique_ptr<timer>, directions> delays;
        bool silent = false; ///< Whether the connection holds all bytes for good.

        /// Whether the connection waits to be destroyed, which must not happen in its own callbacks.
        bool closed = false;
    };

    void receive(relay_message message);
    void handle(const set_relay_target &message);
    void handle(const set_relay_mode &message);
    void handle(const silence_connections &message);
    void handle(count_held_bytes &message);
    void accept(bufferevent *socket);
    const set_relay_mode &modeOf(const relayed_connection &connection, std::size_t direction) const;
    void applyModes();
    void applyMode(relayed_connection &connection, std::size_t direction);
    void forward(relayed_connection &connection, std::size_t direction);
    void scheduleClose(relayed_connection &connection);

    static void socketChanged(bufferevent *socket, void *connection);
    static void socketEvent(bufferevent *socket, short events, void *connection);

    loop &m_loop; ///< Loop that runs this task; not owned.
    std::optional<endpoint> m_target; ///< Address of the link's owner; empty to refuse connections.

    /// Modes in the order received; the latest one that matches a connection and direction applies.
    std::vector<set_relay_mode> m_modes;
    std::list<relayed_connection> m_connections; ///< Open connections, and closed ones until they are destroyed.
    timer m_removalTimer; ///< Destroys closed connections outside their callbacks.
    std::unique_ptr<listener> m_listener; ///< Listening socket; null while connections are refused.

    /// Address "IP:port" of the relay, bound again when a target is set after the listener was closed.
    std::string m_address;

    /// Delivers messages from the inbox; declared last so that delivery stops before the other members are destroyed.
    mailbox_attachment<relay_message> m_attachment;
};

} // namespace guavafront
