#pragma once

#include "runtime/mailbox.h"
#include "scenarios/scenario.h"
#include "settings/endpoint.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <future>
#include <optional>
#include <thread>
#include <variant>

namespace guavafront
{

/// Direction of bytes on a link, seen from its owner: the process that the relay stands in front of.
enum class link_direction : std::uint8_t {
    Towards, ///< Bytes sent to the owner.
    Away, ///< Bytes sent by the owner.
    Count, ///< Number of directions.
};

/// Sets the address that the relay connects to for new connections. Without a target the relay refuses connections, as
/// the address of a dead process does.
struct set_relay_target {
    std::optional<endpoint> target; ///< Address of the link's owner; empty to refuse connections.
};

/// Sets how the relay treats bytes in one direction, including those that it already holds.
struct set_relay_mode {
    std::string sourceIp; ///< Source IP address of the connections that this applies to; empty for all.
    link_direction direction = link_direction::Towards; ///< Direction that the mode applies to.
    link_mode mode = link_mode::Pass; ///< Treatment of the bytes.
    duration delay{}; ///< Delay before bytes are forwarded, for link_mode::Delay only.
};

/// Makes all open connections hold their bytes in both directions for good; new connections aren't affected.
struct silence_connections {
};

/// Asks for the number of bytes of a direction that are held or not written to a socket yet. Closed and silenced
/// connections don't count.
struct count_held_bytes {
    link_direction direction = link_direction::Towards; ///< Direction to count.
    std::promise<std::size_t> reply; ///< Receives the number of bytes.
};

/// Message to a relay's task.
using relay_message = std::variant<set_relay_target, set_relay_mode, silence_connections, count_held_bytes>;

/// TCP relay in front of one process, run as a task of the test program. It forwards, holds or delays bytes, or closes
/// the connection that they arrive on. It accepts new connections also while it holds bytes.
class relay
{
public:
    /// Starts the thread and binds a free port on loopback. Accepted connections are closed at once until a target is
    /// set.
    relay();
    ~relay();
    relay(const relay &) = delete;
    relay &operator=(const relay &) = delete;

    /// Port that the relay listens on.
    std::uint16_t port() const;

    /// Sends a message to the relay's task, which handles messages in order.
    void post(relay_message message);

    /// Number of bytes of a direction that are held or not written to a socket yet, without those of silenced
    /// connections. Returns after the task has handled all messages posted before.
    std::size_t heldBytes(link_direction direction);

private:
    /// Messages to the task; declared before the thread because it must outlive the task.
    mailbox<relay_message> m_inbox;
    loop m_loop; ///< Event loop of the task.
    std::promise<std::uint16_t> m_boundPort; ///< Receives the port from the task.
    std::uint16_t m_port = 0; ///< Port that the task has bound.
    std::thread m_thread; ///< Runs the task; declared last so that the members that it uses exist before it starts.
};

} // namespace guavafront
