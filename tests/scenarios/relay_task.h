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

/// What a relay's thread runs. Loop's thread only.
class relay_task
{
public:
    /// Takes a free port; gives it to bound.
    relay_task(loop &owner, mailbox<relay_message> &inbox, std::promise<std::uint16_t> &boundPort);
    ~relay_task();
    relay_task(const relay_task &) = delete;
    relay_task &operator=(const relay_task &) = delete;

private:
    static constexpr auto directions = static_cast<std::size_t>(link_direction::Count);

    struct socket_deleter {
        void operator()(bufferevent *owned) const;
    };

    /// One end of a relayed connection.
    struct relay_end {
        std::unique_ptr<bufferevent, socket_deleter> socket; ///< Null once it has ended and all is read.
        bool ended = false; ///< No more bytes come.
    };

    struct relayed_connection {
        relay_task *owner = nullptr; ///< For callbacks.
        std::string sourceIp; ///< IP number that it came from.
        std::array<relay_end, directions> sources; ///< Where the bytes of each direction come from.
        std::array<std::unique_ptr<timer>, directions> delays; ///< Run while bytes are delayed.
        bool silent = false; ///< Holds all bytes for good.
        bool closed = false; ///< To be destroyed outside its callbacks.
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

    loop &m_loop; ///< Not owned.
    std::optional<endpoint> m_target; ///< None refuses connections.
    std::vector<set_relay_mode> m_modes; ///< The latest that fits a connection holds.
    std::list<relayed_connection> m_connections; ///< Open ones.
    timer m_removalTimer; ///< Destroys closed ones.
    std::unique_ptr<listener> m_listener; ///< Null while connections are refused.
    std::string m_address; ///< "IP:port" that it listens on.
    mailbox_attachment<relay_message> m_attachment; ///< Last, so that it ends first.
};

} // namespace guavafront
