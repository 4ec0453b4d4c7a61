#pragma once

#include "runtime/loop.h"

#include <cstdint>
#include <functional>
#include <string>

namespace guavafront
{

/// When a supervisor starts an ended child again.
enum class restart_policy : std::uint8_t {
    Permanent, ///< Always.
    Transient, ///< Only when it failed.
    Temporary, ///< Never.
};

/// How to run one child of a supervisor, a task or another supervisor.
struct child_spec {
    std::string name; ///< For logs and counters.

    /// The task: builds its state and sockets on its own thread, runs the loop until stopped, throws when it fails.
    std::function<void(loop &)> body;

    restart_policy restart = restart_policy::Permanent; ///< When to start it again.
    duration shutdownLimit = std::chrono::seconds(10); ///< A child still running after a stop request ends the process.
};

} // namespace guavafront
