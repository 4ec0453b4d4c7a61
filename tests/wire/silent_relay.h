#pragma once

#include "daemon/peers/listener.h"
#include "runtime/timer.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <deque>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace guavafront
{

/// Relay on loopback between two VMs. Its connections can go silent, as when a middlebox has lost track of them: bytes
/// are taken and passed on to nobody, while new connections work.
class silent_relay
{
public:
    enum class direction : std::uint8_t { ToTarget, ToOpener, Both };

    silent_relay(loop &owner, std::string target)
        : m_loop(owner)
        , m_target(std::move(target))
        , m_listener(owner, "127.0.0.1:0", [this](bufferevent *socket) { accept(socket); })
    {
    }

    ~silent_relay()
    {
        for (const auto &each : m_connections) {
            each->free();
        }
    }

    silent_relay(const silent_relay &) = delete;
    silent_relay &operator=(const silent_relay &) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_listener.port());
    }

    /// Makes the connections that exist, and the next ones as many as given, go silent.
    void silence(direction which, int nextConnections = 0)
    {
        for (const auto &each : m_connections) {
            each->silence(which);
        }
        m_silentNext = nextConnections;
        m_silentDirection = which;
    }

    /// Resets the connections that exist.
    void reset()
    {
        for (const auto &each : m_connections) {
            each->reset();
        }
    }

    /// Passes bytes of new connections on after a time only, as if the VMs behind the relay were late to read them.
    void delay(duration time)
    {
        m_delay = time;
    }

    std::size_t connections() const
    {
        return m_connections.size();
    }

private:
    struct connection {
        bufferevent *opener = nullptr;
        bufferevent *target = nullptr;
        bool passToTarget = true;
        bool passToOpener = true;
        duration delay{}; ///< Time after which bytes are passed on.
        std::deque<std::tuple<instant, bool, std::string>> delayed; ///< When bytes are due, whether to the target.
        std::unique_ptr<timer> delayTimer; ///< Passes on what is due.

        void silence(direction which)
        {
            passToTarget = passToTarget && which == direction::ToOpener;
            passToOpener = passToOpener && which == direction::ToTarget;
        }

        void reset()
        {
            for (bufferevent *each : {opener, target}) {
                const linger hard{.l_onoff = 1, .l_linger = 0};
                if (each) {
                    setsockopt(bufferevent_getfd(each), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
                }
            }
            free();
        }

        void free()
        {
            for (bufferevent **each : {&opener, &target}) {
                if (*each) {
                    bufferevent_free(*each);
                    *each = nullptr;
                }
            }
        }

        void hold(bool toTarget, evbuffer *input)
        {
            std::string bytes(evbuffer_get_length(input), '\0');
            evbuffer_remove(input, bytes.data(), bytes.size());
            delayed.emplace_back(loop::now() + delay, toTarget, std::move(bytes));
            delayTimer->arm(std::get<0>(delayed.front()) - loop::now());
        }

        void passDelayed()
        {
            while (!delayed.empty() && std::get<0>(delayed.front()) <= loop::now()) {
                const auto &[due, toTarget, bytes] = delayed.front();
                if (bufferevent *receiver = toTarget ? target : opener) {
                    bufferevent_write(receiver, bytes.data(), bytes.size());
                }
                delayed.pop_front();
            }
            if (!delayed.empty()) {
                delayTimer->arm(std::get<0>(delayed.front()) - loop::now());
            }
        }

        static void read(bufferevent *from, void *self)
        {
            auto *owner = static_cast<connection *>(self);
            const bool toTarget = from == owner->opener;
            evbuffer *input = bufferevent_get_input(from);
            if (owner->delay > duration{}) {
                owner->hold(toTarget, input);
            } else if (toTarget ? owner->passToTarget : owner->passToOpener) {
                evbuffer_add_buffer(bufferevent_get_output(toTarget ? owner->target : owner->opener), input);
            } else {
                evbuffer_drain(input, evbuffer_get_length(input));
            }
        }

        static void event(bufferevent *from, short what, void *self)
        {
            auto *owner = static_cast<connection *>(self);
            const bool fromOpener = from == owner->opener;
            // The end of a silent connection isn't passed on either.
            const bool passes = fromOpener ? owner->passToTarget : owner->passToOpener;
            if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0 && passes) {
                owner->free();
            }
        }
    };

    void accept(bufferevent *socket)
    {
        auto added = std::make_unique<connection>();
        added->opener = socket;
        added->target = openConnection(m_loop, m_target);
        added->delay = m_delay;
        added->delayTimer = std::make_unique<timer>(m_loop, [self = added.get()] { self->passDelayed(); });
        for (bufferevent *each : {added->opener, added->target}) {
            bufferevent_setcb(each, connection::read, nullptr, connection::event, added.get());
            bufferevent_enable(each, EV_READ | EV_WRITE);
        }
        if (m_silentNext > 0) {
            --m_silentNext;
            added->silence(m_silentDirection);
        }
        m_connections.push_back(std::move(added));
    }

    loop &m_loop;
    std::string m_target;
    std::vector<std::unique_ptr<connection>> m_connections;
    int m_silentNext = 0;
    duration m_delay{};
    direction m_silentDirection = direction::Both;
    listener m_listener;
};

} // namespace guavafront
