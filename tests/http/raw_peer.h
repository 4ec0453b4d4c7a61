#pragma once

#include "runtime/loop.h"
#include "runtime/timer.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace guavafront
{

/// One end of a TCP connection, which writes and reads raw bytes on the loop of the test.
class raw_peer
{
public:
    /// Uses an accepted socket, which it then owns, or creates a new one when descriptor is -1.
    raw_peer(loop &owner, int descriptor)
        : m_loop(owner)
        , m_socket(bufferevent_socket_new(owner.base(), descriptor, BEV_OPT_CLOSE_ON_FREE))
    {
        bufferevent_setcb(m_socket, readCallback, nullptr, eventCallback, this);
        bufferevent_enable(m_socket, EV_READ | EV_WRITE);
    }

    ~raw_peer()
    {
        close();
    }

    raw_peer(const raw_peer &) = delete;
    raw_peer &operator=(const raw_peer &) = delete;

    void connectTo(std::uint16_t port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bufferevent_socket_connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    }

    void write(std::string_view bytes)
    {
        bufferevent_write(m_socket, bytes.data(), bytes.size());
    }

    /// Leaves received bytes in the kernel's buffer from now on.
    void stopReading()
    {
        bufferevent_disable(m_socket, EV_READ);
    }

    /// Closes the connection with a TCP reset.
    void reset()
    {
        const linger hard{.l_onoff = 1, .l_linger = 0};
        setsockopt(bufferevent_getfd(m_socket), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        close();
    }

    /// Passes bytes to the kernel at once, without running the loop. Throws when the socket doesn't take them.
    void writeAtOnce(std::string_view bytes)
    {
        if (send(bufferevent_getfd(m_socket), bytes.data(), bytes.size(), 0) < 0) {
            throw std::runtime_error("cannot send on the socket of the raw peer");
        }
    }

    void close()
    {
        if (m_socket) {
            bufferevent_free(m_socket);
            m_socket = nullptr;
        }
    }

    /// Closes the connection once all written bytes have been passed to the kernel.
    void closeAfterWrite()
    {
        if (evbuffer_get_length(bufferevent_get_output(m_socket)) == 0) {
            close();
            return;
        }
        bufferevent_setcb(m_socket, nullptr, writtenCallback, nullptr, this);
    }

    /// Writes the same bytes repeatedly until the other end closes the connection.
    void writeRepeatedly(std::string_view repeated)
    {
        constexpr std::size_t atOnce = 65'536;
        m_repeated.clear();
        while (m_repeated.size() < atOnce) {
            m_repeated.append(repeated);
        }
        bufferevent_setcb(m_socket, readCallback, repeatCallback, eventCallback, this);
        write(m_repeated);
    }

    std::string received; ///< All bytes received so far, unless the test cleared them.
    bool ended = false; ///< Whether the other end has closed or reset the connection.
    std::function<void()> onChange = [] {
    }; ///< Called when bytes were received or the other end has closed.

private:
    static void readCallback(bufferevent *socket, void *self)
    {
        auto *peer = static_cast<raw_peer *>(self);
        evbuffer *input = bufferevent_get_input(socket);
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        peer->received += bytes;
        peer->m_loop.guard([peer] { peer->onChange(); });
    }

    static void writtenCallback(bufferevent * /*socket*/, void *self)
    {
        static_cast<raw_peer *>(self)->close();
    }

    static void repeatCallback(bufferevent * /*socket*/, void *self)
    {
        auto *peer = static_cast<raw_peer *>(self);
        if (!peer->ended) {
            peer->write(peer->m_repeated);
        }
    }

    static void eventCallback(bufferevent * /*socket*/, short what, void *self)
    {
        auto *peer = static_cast<raw_peer *>(self);
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            peer->ended = true;
            peer->m_loop.guard([peer] { peer->onChange(); });
        }
    }

    loop &m_loop; ///< Not owned.
    bufferevent *m_socket; ///< Owned; null once closed.
    std::string m_repeated; ///< Bytes that writeRepeatedly() writes at a time.
};

/// Listener on a free port that creates a raw_peer for each accepted connection.
class raw_listener
{
public:
    raw_listener(loop &owner, std::function<void(raw_peer &)> onAccept)
        : m_loop(owner)
        , m_onAccept(std::move(onAccept))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_listener =
            evconnlistener_new_bind(owner.base(), acceptCallback, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                    reinterpret_cast<const sockaddr *>(&address), sizeof address);
        socklen_t length = sizeof address;
        getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&address), &length);
        port = ntohs(address.sin_port);
    }

    ~raw_listener()
    {
        evconnlistener_free(m_listener);
    }

    raw_listener(const raw_listener &) = delete;
    raw_listener &operator=(const raw_listener &) = delete;

    std::uint16_t port = 0; ///< Port that was bound.
    std::vector<std::unique_ptr<raw_peer>> peers; ///< Accepted connections, oldest first.

private:
    static void acceptCallback(evconnlistener * /*listener*/, int descriptor, sockaddr * /*address*/, int /*length*/,
                               void *self)
    {
        auto *listener = static_cast<raw_listener *>(self);
        listener->peers.push_back(std::make_unique<raw_peer>(listener->m_loop, descriptor));
        listener->m_loop.guard([listener] { listener->m_onAccept(*listener->peers.back()); });
    }

    loop &m_loop; ///< Not owned.
    std::function<void(raw_peer &)> m_onAccept; ///< Called with each accepted connection.
    evconnlistener *m_listener; ///< Owned.
};

/// Loop with a watchdog that fails the test when an awaited event doesn't occur.
struct loop_fixture {
    loop events;
    timer guard{events, [] {
                    throw std::runtime_error("the awaited event did not occur within the time limit");
                }};

    /// Runs the loop until events.stop() is called; throws after 20 s.
    void run()
    {
        guard.arm(std::chrono::seconds(20));
        events.run();
        guard.cancel();
    }
};

} // namespace guavafront
