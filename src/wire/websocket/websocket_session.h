#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace guavafront
{

/// Which end of a WebSocket connection (RFC 6455) a session is.
enum class websocket_role : std::uint8_t {
    Client, ///< Sends the upgrade request.
    Server, ///< Answers it.
};

/// What a session tells its owner, always from inside one of the session's functions.
struct websocket_events {
    std::function<void(std::string_view)> write; ///< Bytes for the socket.
    std::function<void()> opened; ///< Messages may be sent.
    std::function<void(std::string_view)> received; ///< A whole binary message.
    std::function<void(bool)> failed; ///< The session is over; true when a message exceeded the limit.
};

/// The WebSocket protocol without a socket: bytes in, messages out. Compiles as C++17, hence no spans.
class websocket_session
{
public:
    /// Session that takes messages of at most maxMessageBytes.
    websocket_session(websocket_role role, std::size_t maxMessageBytes, websocket_events events);
    ~websocket_session();
    websocket_session(const websocket_session &) = delete;
    websocket_session &operator=(const websocket_session &) = delete;

    /// Begins; a client writes its upgrade request.
    void start();

    /// Bytes from the socket.
    void receive(std::string_view bytes);

    /// Sends one binary message; false when the session isn't open.
    bool send(std::string_view message);

    /// Sends a ping; the other end's pong arrives as bytes.
    void ping();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation; ///< Keeps websocketpp out of this header.
};

} // namespace guavafront
