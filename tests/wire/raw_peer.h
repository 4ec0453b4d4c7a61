#pragma once

#include "daemon/peers/listener.h"
#include "wire/envelope.h"
#include "wire/handshake.h"
#include "wire/websocket/websocket_session.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <array>
#include <string>

namespace guavafront
{

/// Peer that completes the handshake with the fleet secret. A test can then make it misbehave.
class raw_peer
{
public:
    raw_peer(loop &owner, const std::string &address, fleet_secret secret)
        : m_secret(secret)
        , m_state(beginAsInitiator({.id = {99}, .address = "127.0.0.1:9", .dataCentre = "x"}, makeNonce()))
        , m_socket(openConnection(owner, address))
        , m_session(
              websocket_role::Client, 1U << 20U,
              {.write = [this](std::string_view bytes) { bufferevent_write(m_socket, bytes.data(), bytes.size()); },
               .opened = [this] { opened(); },
               .received = [this](std::string_view bytes) { received(bytes); },
               .failed =
                   [](bool) {
                   }})
    {
        bufferevent_setcb(m_socket, readCallback, nullptr, eventCallback, this);
        bufferevent_enable(m_socket, EV_READ | EV_WRITE);
    }

    ~raw_peer()
    {
        bufferevent_free(m_socket);
    }

    raw_peer(const raw_peer &) = delete;
    raw_peer &operator=(const raw_peer &) = delete;

    /// Sends the bytes as one WebSocket message, without an envelope.
    void sendRaw(std::span<const std::byte> bytes)
    {
        m_session.send({reinterpret_cast<const char *>(bytes.data()), bytes.size()});
    }

    /// Stops reading and writing but keeps the connection open.
    void stopResponding()
    {
        bufferevent_disable(m_socket, EV_READ | EV_WRITE);
    }

    std::function<void()> onOpened; ///< If set, called in place of sending the hello.
    bool provesSecret = true; ///< Whether it sends its proof after the responder's answer.

private:
    void opened()
    {
        if (onOpened) {
            onOpened();
        } else {
            sendControl(makeHello(m_state));
        }
    }

    void received(std::string_view bytes)
    {
        const envelope message = decodeEnvelope(std::as_bytes(std::span(bytes)), bytes.size());
        if (message.kind == channel::Control && provesSecret) {
            sendControl(*advance(m_state, m_secret, decodeHandshake(message.body)));
        }
    }

    void sendControl(const handshake_message &message)
    {
        sendRaw(encodeEnvelope({.kind = channel::Control, .body = encodeHandshake(message)}));
    }

    static void readCallback(bufferevent *socket, void *self)
    {
        std::array<char, 4096> chunk{};
        const int count = evbuffer_remove(bufferevent_get_input(socket), chunk.data(), chunk.size());
        static_cast<raw_peer *>(self)->m_session.receive({chunk.data(), static_cast<std::size_t>(count)});
    }

    static void eventCallback(bufferevent * /*socket*/, short what, void *self)
    {
        if ((what & BEV_EVENT_CONNECTED) != 0) {
            static_cast<raw_peer *>(self)->m_session.start();
        }
    }

    fleet_secret m_secret;
    handshake m_state;
    bufferevent *m_socket;
    websocket_session m_session;
};

} // namespace guavafront
