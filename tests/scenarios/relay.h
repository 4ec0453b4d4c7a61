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

/// Direction of bytes on a link.
enum class link_direction : std::uint8_t {
    Towards, ///< To the link's owner.
    Away, ///< From it.
    Count, ///< Number of directions.
};

/// Where the relay connects to from now on; none refuses connections, as the address of a dead process does.
struct set_relay_target {
    std::optional<endpoint> target; ///< The link's owner.
};

/// What becomes of bytes in one direction from now on.
struct set_relay_mode {
    std::string sourceIp; ///< Only connections from this IP number; empty for all.
    link_direction direction = link_direction::Towards; ///< Which.
    link_mode mode = link_mode::Pass; ///< What becomes of them.
    duration delay{}; ///< Of Delay.
};

/// The present connections hold all bytes for good.
struct silence_connections {
};

/// Asks for the bytes that are held or not written yet.
struct count_held_bytes {
    link_direction direction = link_direction::Towards; ///< Which.
    std::promise<std::size_t> reply; ///< Number of bytes.
};

/// Message to a relay's task.
using relay_message = std::variant<set_relay_target, set_relay_mode, silence_connections, count_held_bytes>;

/// TCP relay before one process: a task of the test program that passes bytes on, holds, delays or drops them. New
/// connections come about also while it holds bytes.
class relay
{
public:
    /// Listens on a free port of loopback; refuses connections until it has a target.
    relay();
    ~relay();
    relay(const relay &) = delete;
    relay &operator=(const relay &) = delete;

    /// Port that it listens on.
    std::uint16_t port() const;

    /// Sends the task a message.
    void post(relay_message message);

    /// Bytes of a direction that are held or not written yet.
    std::size_t heldBytes(link_direction direction);

private:
    mailbox<relay_message> m_inbox; ///< Outlives the task.
    loop m_loop; ///< The task's.
    std::promise<std::uint16_t> m_boundPort; ///< Set by the task.
    std::uint16_t m_port = 0; ///< Bound port.
    std::thread m_thread; ///< Last: runs the task.
};

} // namespace guavafront
