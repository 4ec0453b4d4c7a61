#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace guavafront
{

/// End of a WebSocket connection (RFC 6455) that a session implements.
enum class websocket_role : std::uint8_t {
    Client, ///< Opens the connection and sends the upgrade request.
    Server, ///< Accepts the connection and answers the upgrade request.
};

/// Callbacks from a session to its owner. They are called only while one of the session's functions runs.
struct websocket_events {
    std::function<void(std::string_view)> write; ///< Bytes must be written to the socket.
    std::function<void()> opened; ///< The upgrade is complete; messages may be sent.
    std::function<void(std::string_view)> received; ///< A complete binary message arrived.
    std::function<void(bool)> failed; ///< The session has ended; true when a message exceeded the size limit.
    std::function<void(std::string_view)> answered; ///< The peer answered a ping with this payload.
};

/// WebSocket protocol without a socket: the owner passes received bytes in and writes the produced bytes to its socket.
/// websocketpp, and so this header too, is compiled as C++17, which has no spans.
class websocket_session
{
public:
    /// Makes a session that accepts messages of at most maxMessageBytes.
    websocket_session(websocket_role role, std::size_t maxMessageBytes, websocket_events events);
    ~websocket_session();
    websocket_session(const websocket_session &) = delete;
    websocket_session &operator=(const websocket_session &) = delete;

    /// Starts the session. A client sends its upgrade request.
    void start();

    /// Processes bytes that arrived on the socket.
    void receive(std::string_view bytes);

    /// Sends one binary message. Returns false when the session isn't open.
    bool send(std::string_view message);

    /// Sends a ping with a payload of at most 125 bytes. The peer's pong repeats the payload (RFC 6455 5.5.3).
    void ping(std::string_view payload = {});

    /// Whether the peer takes statements on links that have ended, and compressed bodies. Known once the session is
    /// open.
    bool peerResumesLinks() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation; ///< State of the session. It is hidden so that this header
                                                      ///< doesn't include websocketpp.
};

} // namespace guavafront
